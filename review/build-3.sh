#!/usr/bin/env bash
# The cases of the third review are days for the bench: no script starts a stand-in, so there is nothing to build.
exit 0

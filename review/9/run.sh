#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/harness2 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/harness2 case raised-quota review/9/record.txt

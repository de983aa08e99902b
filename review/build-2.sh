#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/. They lie in platform/, as they contain
# names of the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/platform/harness2

#!/bin/sh
# Runs the case; `target/release/hemlockplatform` and `review/build-2.sh` must have been built. Exits with 0, 1 or 2.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/starved ] && [ -x target/release/hemlockplatform ] || exit 2
exec target/review-2/starved review/9/record.txt

#!/bin/sh
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: no disruption.
# `target/release/hemlockplatform` and the drivers of `review/build-2.sh` must have been built.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/starved ] && [ -x target/release/hemlockplatform ] || exit 2
# The driver brings the disruption about unless TROUBLE is 0.
TROUBLE="${TROUBLE:-1}" exec target/review-2/starved review/9/record.txt

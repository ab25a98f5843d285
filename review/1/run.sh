#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# With TROUBLE=0 the same runs without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/release/chervildrift && -x target/review/release/review_standin ]] || exit 2
export TROUBLE="${TROUBLE:-1}"
target/review/release/review_standin slow-orders review/1/record.txt
code=$?
((code <= 1)) && exit "$code"
exit 2

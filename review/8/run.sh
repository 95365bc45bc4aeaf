#!/usr/bin/env bash
# A program with a spent budget comes back within the retention, at a frozen gateway.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin-2 ] && [ -x target/release/luglink ] || exit 2
exec target/review-2/standin-2 account-forgotten review/8/record.txt

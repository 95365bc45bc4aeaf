#!/usr/bin/env bash
# Outages of single stores, one after the other, lose a turn that is still retained.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin-2 ] && [ -x target/release/luglink ] || exit 2
exec target/review-2/standin-2 turn-lost-by-outages review/8/record.txt

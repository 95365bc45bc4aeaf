#!/usr/bin/env bash
# A second copy of a refusal stands in the place of the next answer, and a request runs twice.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/surplus_refusal ] && [ -x target/release/luglink ] || exit 2
exec target/review-2/surplus_refusal review/4

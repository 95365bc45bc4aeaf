#!/usr/bin/env bash
# Two disks are lost one after the other, and a turn with them.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/one_disk ] && [ -x target/release/luglink ] || exit 2
exec target/review-2/one_disk review/5

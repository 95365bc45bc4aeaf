#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. Needs only rustc and the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standin-2/main.rs -o target/review-2/standin-2
for case in surplus_refusal one_disk draining; do
    rustc --edition 2024 -O "review/standin-3/$case.rs" -o "target/review-2/$case"
done

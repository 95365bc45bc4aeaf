#!/usr/bin/env bash
# Builds the stand-ins and cases that the scripts start. Needs rustc only; the product is built with the
# command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs

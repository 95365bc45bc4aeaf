#!/usr/bin/env bash
# The test command of the README.
set -euo pipefail
cd "$(dirname "$0")"
cargo test --workspace --locked

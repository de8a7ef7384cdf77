#!/usr/bin/env bash
# Runs every test: scripted scenarios, regressions, documentation examples and process tests.
set -euo pipefail
cd "$(dirname "$0")/.."

# The process tests start the programs, so these are built first.
cargo build --locked --workspace --quiet
cargo test --locked --workspace "$@"
# A short run of the soak; its seed and its verdict are the same each time.
target/debug/winchvane-soak --seed 1 --seconds 8 --clients 6

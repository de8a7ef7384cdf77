#!/usr/bin/env bash
# Runs every test: scripted scenarios, regressions, documentation examples and process tests.
set -euo pipefail
cd "$(dirname "$0")/.."

# The process tests start the programs, so these are built first.
cargo build --locked --workspace --quiet
cargo test --locked --workspace "$@"

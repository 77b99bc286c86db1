#!/usr/bin/env bash
# Builds the program that plays the cases, with its clients, servers and store. It needs no other package.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness/Cargo.toml --target-dir target/review

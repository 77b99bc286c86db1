#!/bin/sh
# Builds the stand-ins of the third review. They use the standard library alone, so no package is needed.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-3 cargo build --release --offline --manifest-path review/harness-3/Cargo.toml

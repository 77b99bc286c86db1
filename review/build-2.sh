#!/bin/sh
# Builds what the scripts of this review start beside the program of the deploy file: the stand-ins and the cases.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --manifest-path review/harness-2/Cargo.toml

#!/bin/sh
# Builds the stand-ins of the third review. They have no dependencies, so no network is needed.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3

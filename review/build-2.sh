#!/bin/sh
# Builds the stand-in of the cases 6 to 10. It needs no network and no library.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2

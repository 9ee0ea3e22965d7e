#!/bin/sh
# Builds the stand-in of the cases of the second review, without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2

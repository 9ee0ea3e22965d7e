#!/usr/bin/env bash
# Builds the stand-in that the scripts start, without a network, below the root's target/.
set -eu
cd "$(dirname "$0")/.."
cargo build --offline --locked --release --manifest-path review/standin/Cargo.toml \
  --target-dir target/review

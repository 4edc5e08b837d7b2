#!/bin/bash
# Builds the stand-ins that the review's scripts start. They have no dependencies, so no network is needed.
set -e
cd "$(dirname "$0")"
cargo build --release --offline --locked --manifest-path stand-ins/Cargo.toml --target-dir ../target/review

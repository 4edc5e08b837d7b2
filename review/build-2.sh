#!/usr/bin/env bash
# Builds the stand-ins of the second review, without a network. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --offline --locked

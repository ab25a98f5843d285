#!/bin/sh
# Builds the stand-ins of the second review's scripts, the project's own among them, into target/.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2

#!/bin/sh
# Builds the stand-ins of the cases 16 to 20, after the build of the deploy file. Needs rustc only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-4
rustc -O --edition 2024 --crate-name harness -o target/review-4/harness review/harness-4/main.rs

#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file. Needs rustc only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/harness review/harness-2/main.rs

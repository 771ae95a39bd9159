#!/bin/sh
# Builds the stand-ins of the third review, after the build of the deploy file. Needs rustc only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/harness review/harness-3/main.rs

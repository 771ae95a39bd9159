#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. Needs rustc only; run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs

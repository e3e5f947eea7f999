#!/bin/sh
# Builds the stand-ins of the second review. Needs rustc and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-ins review/stand-ins-2/main.rs

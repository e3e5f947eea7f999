#!/bin/sh
# Builds the stand-ins that the cases start. Needs only the Rust compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-ins review/stand-ins/main.rs

#!/bin/sh
# Builds the scripts and stand-ins of the third review from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/worker review/common-3/worker.rs
for case in 11 12 13 14 15; do
    if [ -f "review/$case/case.rs" ]; then
        rustc --edition 2024 -O -o "target/review-3/case-$case" "review/$case/case.rs"
    fi
done

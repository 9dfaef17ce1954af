#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 review/standin-2/main.rs -o target/review-2/standin

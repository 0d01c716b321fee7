#!/bin/sh
# Builds the stand-ins of the second review's cases with the compiler alone: no package, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/standin-2/main.rs

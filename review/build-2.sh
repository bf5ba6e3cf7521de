#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start; they need no dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standins-2/cases.rs

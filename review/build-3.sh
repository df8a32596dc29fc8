#!/bin/sh
# Builds the stand-ins of the third review, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc -O --edition 2024 review/stand_in_3/main.rs -o target/review-3/stand_in
rustc -O --edition 2024 review/stand_in_3/stop_main.rs -o target/review-3/stop

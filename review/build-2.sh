#!/bin/bash
# Builds the stand-ins and clients of the cases 6 to 10 with the standard library alone, into
# target/review-2/. The program under test is built by the command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/stand_in_2/main.rs -o target/review-2/cases

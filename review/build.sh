#!/bin/sh
# Builds the stand-ins and clients of the cases: one program of the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/rig review/rig/main.rs

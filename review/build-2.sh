#!/bin/sh
# Builds the stand-ins and the drivers of the second review's scripts. They need nothing but the toolchain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-ins-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] || rustc --edition 2024 -O -A warnings -o "target/review-2/$name" "$source"
done

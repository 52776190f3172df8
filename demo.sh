#!/bin/sh
# Builds everything and runs a deployment on loopback under load, until stopped. Options go to hemlockdemo.
set -e
cd "$(dirname "$0")"
cargo build --release --workspace --bins --locked
exec target/release/hemlockdemo "$@"

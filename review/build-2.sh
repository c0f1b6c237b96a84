#!/bin/bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2. The programs themselves are built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
out=$PWD/target/review-2/
cd review/standin-2
GOFLAGS=-mod=mod GOWORK=off CGO_ENABLED=0 go build -o "$out" ./cmd/...

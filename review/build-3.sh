#!/bin/sh
# Builds the stand-in of the cases 9 and following into target/review-3. It needs no network: the module has no
# dependencies. The programs themselves are built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
out=$PWD/target/review-3
cd review/standin-3
GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o "$out" .

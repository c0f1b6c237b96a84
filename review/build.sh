#!/bin/bash
# Builds the stand-ins that the scripts start. It needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/standin .

#!/usr/bin/env bash
# Builds the stand-ins of the second review. The system itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/stand-2 && GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-stand-2 .)

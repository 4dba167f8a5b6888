#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs no network: only the standard library.
set -eu
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS=-buildvcs=false go build -trimpath -o ../bin/stand .

#!/usr/bin/env bash
# Builds the stand-ins of the second review, and the system by the build line of the deploy
# file if that has not been done.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
if [ ! -x target/bluebellport ]; then
	bash -c "$(sed -nE 's/^build = "(.*)"$/\1/p' deploy/system.toml)"
fi
for stand in stand-2 stand-3; do
	(cd "review/$stand" && GOWORK=off GOFLAGS=-buildvcs=false go build -o "../../target/review-$stand" .)
done

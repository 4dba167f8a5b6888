#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
export REVIEW_ROOT=$PWD/../..
[ -x ../bin/stand ] && [ -x ../../target/bluebellport ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec ../bin/stand whole-budget "$PWD"

#!/usr/bin/env bash
# Builds the stand-ins that the scripts below start. The scripts need none: they
# start the program of the deploy file, and are operator and platform themselves.
set -eu
cd "$(dirname "$0")/.."
test -x target/damaskyard || { echo "build the deploy file's program first" >&2; exit 1; }

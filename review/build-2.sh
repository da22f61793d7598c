#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They are written in
# Python (deployment_2.py), which the packages of the deploy file bring in with
# libglib2.0-dev, so there is nothing to compile; this checks that they can run.
set -eu
cd "$(dirname "$0")/.."
test -x target/damaskyard || { echo "build the deploy file's program first" >&2; exit 1; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
	{ echo "python3 3.11 or later is needed" >&2; exit 1; }
python3 -B -c 'import ast; ast.parse(open("review/deployment_2.py").read())'

#!/usr/bin/env bash
# Builds the stand-ins that the cases start: plain Python, so compiling them is all.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/service.toml first" >&2; exit 2; }
python3 -X pycache_prefix="$PWD/target/pycache" -m compileall -q review

#!/usr/bin/env bash
# Builds the stand-ins of the second review. They need the standard library only, so this
# compiles them, and checks that the build of the deploy file has been run.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
python3 -S -m compileall -q review/harness_2 review/6 review/7 review/8 review/9 review/10

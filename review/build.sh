#!/usr/bin/env bash
# Builds what the scripts under review/ start: the gateway and the project's stand-in of
# the store go to target/deps with the build of the deploy file, and the small stand-ins
# of clients and endpoints are checked by compiling them.
set -euo pipefail
cd "$(dirname "$0")/.."
bash deploy/build.sh
cp -r platform/shallotspindle_standin target/deps/
python3 -c 'import ast, pathlib; [ast.parse(p.read_text()) for p in pathlib.Path("review").rglob("*.py")]'

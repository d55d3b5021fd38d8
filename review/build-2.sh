#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the deploy file.
#
# The build of the deploy file already puts the store's stand-in (platform/) into
# target/deps. This script copies it again from the sources, compiles it and the helper
# of the cases, and checks that both can be imported without a network and without .venv.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps/shallotspindle_adapter ] || bash deploy/build.sh
rm -rf target/deps/shallotspindle_standin
cp -r platform/shallotspindle_standin target/deps/
find target/deps/shallotspindle_standin -name '*_test.py' -delete
python3 -m compileall -q target/deps/shallotspindle_standin
PYTHONPATH=target/deps:review python3 -c 'import fleet2'

#!/usr/bin/env bash
# Installs the pinned dependencies, the libraries and the adapter into target/deps and
# compiles them to bytecode.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! target/deps/installed -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --require-hashes \
        --target target/deps --no-deps -r deploy/requirements.txt
    touch target/deps/installed
fi
rm -rf target/deps/shallotspindle_*
cp -r libraries/*/shallotspindle_* platform/shallotspindle_* target/deps/
find target/deps/shallotspindle_* \
    \( -name '*_test.py' -o -name conftest.py -o -name fakes.py \) -delete
python3 -m compileall -q -j 0 target/deps

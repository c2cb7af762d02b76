#!/bin/sh
# Builds the stand-ins that cases 4 to 7 start: the project's own store, which the build of
# the deploy file has copied into target/deps, and the small ones of harness_2.py.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps/mimosafork/standins/prepared ] || {
    echo "build the deploy file first" >&2
    exit 1
}
python3 -m compileall -q target/deps/mimosafork/standins
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 python3 -c \
    "import harness_2, mimosafork.standins.prepared.deployment"

#!/bin/sh
# Builds the stand-ins that the cases start: the project's own, which the build of the
# deploy file has copied into target/deps, and those of this folder.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps/mimosafork/standins/prepared ] || {
    echo "build the deploy file first" >&2
    exit 1
}
python3 -m compileall -q target/deps/mimosafork/standins
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 python3 -c \
    "import harness, mimosafork.standins.prepared.deployment"

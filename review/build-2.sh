#!/bin/sh
# Builds the stand-ins that the scripts in 6 to 10 start: those of the project
# and those in common-2. They run on the packages of the deploy file's build,
# need no others and no network.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/common-2
PYTHONPATH=target/deps:.:review/common-2 python3 -c "import advice, bench"

#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
if ! python3 -c 'import sys; sys.path.insert(0, "../common-2"); import advice'
then
    echo "not run: build with fleetbench build and review/build-2.sh" >&2
    exit 2
fi
exec python3 case.py

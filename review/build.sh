#!/bin/sh
# The stand-ins are Python modules, which need no build: review/common/bed.py,
# which all scripts share, and standins/fleet. Checks that they and what they
# import are there after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B -c 'import sys; sys.path.insert(0, "review/common"); import bed'

#!/bin/sh
# Checks that the stand-ins of the cases can be used; they are Python and need no compiler. Run it
# from anywhere behind the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="target/deps:.:review/common-2" exec python3 -c "import fleet, standins.key_value"

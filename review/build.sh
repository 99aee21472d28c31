#!/bin/sh
# Compiles the cases and the stand-ins that they start; they need no packages of their own.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review standins clementinepin
PYTHONPATH="target/deps:." python3 -c "import review.common.fleet, standins.key_value"

#!/bin/sh
# Builds the stand-ins of review/11 to review/15. They are plain Python of the standard library.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review/common-3

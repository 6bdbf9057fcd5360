#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: plain Python 3.11, no dependency.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins-2

#!/bin/sh
# The stand-ins use Python's standard library only; this checks that they compile.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins [0-9]

#!/bin/sh
# Builds the stand-ins: they are Python and use its standard library only.
cd "$(dirname "$0")" && exec python3 -m compileall -q rig [1-5]

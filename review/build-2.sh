#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They use
# the standard library alone, so that they only have to be compiled.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q rig_2

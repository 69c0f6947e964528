#!/usr/bin/env bash
# Build the stand-ins that the scripts of the second review start. They are
# Python and need the standard library alone, so this compiles and imports them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q tools/__init__.py tools/platform_standins \
  review/standins_2.py
python3 -c 'import sys; sys.path.insert(0, "review"); import standins_2'

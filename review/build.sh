#!/bin/sh
# The stand-ins are Python without packages: there is nothing to build, so this
# only checks that all of them compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review tools/platform_standins

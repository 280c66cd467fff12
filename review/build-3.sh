#!/bin/sh
# Builds what the scripts of review/11 to review/15 start besides the routers:
# the stand-ins in review/rig3.py. Runs after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
mkdir -p target/review
PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q bergamotmill
for source in review/rig3.py review/1[1-5]/case.py; do
  [ ! -f "$source" ] || PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q "$source"
done

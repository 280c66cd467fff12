#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start; run it after the build line of
# deploy/system.toml. Nothing is installed.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
PYTHONPATH=target/deps:. python3 -c 'import review.rig'
python3 -m compileall -q bergamotmill review

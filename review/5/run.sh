#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
PYTHONPATH=target/deps:. exec timeout -k 5 115 python3 "review/$(basename "$(dirname "$0")")/case.py"

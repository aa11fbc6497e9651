#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 -c 'import aiohttp, grpc, yaml, yuccareach.platform.run_control' || exit 2
exec python3 -W ignore review/3/case.py

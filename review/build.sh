#!/bin/bash
# The stand-ins are Python and use what the build of the deploy file installs.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c 'import aiohttp, grpc, yaml, yuccareach.platform.run_control'
python3 -m py_compile review/standins/*.py

#!/bin/sh
# Checks that the stand-ins of the review can be started; there is nothing to compile.
# Run it after the build of the deploy file, whose target/deps it uses.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "common"); import harness'

#!/bin/sh
# Installs the pinned dependencies into target/deps, unless it is newer than the pins.
set -eu
pins=deploy/requirements.txt
if [ target/deps -nt "$pins" ]; then
    exit 0
fi
python3 -m pip install --quiet --upgrade --target target/deps --requirement "$pins"
touch target/deps

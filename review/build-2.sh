#!/bin/sh
# Prepares what the scripts of cases 6 to 10 start. Run it after the build of the
# deploy file, without a network: it only compiles the stand-ins to check them.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
PYTHONPYCACHEPREFIX="$(mktemp -d)"
export PYTHONPYCACHEPREFIX
python3 -m compileall -q platform/snipelug_platform_standin review/common-2
for case in 6 7 8 9 10; do
    if [ -f "review/$case/case.py" ]; then
        python3 -m py_compile "review/$case/case.py"
    fi
done
rm -r "$PYTHONPYCACHEPREFIX"

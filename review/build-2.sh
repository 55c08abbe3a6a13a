#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file: stand-ins in Python, which
# need no packages. Checks that they can be run.
set -e
cd "$(dirname "$0")"
python3 - lib-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'END'
import os
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
END

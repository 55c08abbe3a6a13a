#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs that use the standard library only, so nothing is compiled;
# this checks that the interpreter can load them. The build of the deploy file makes the programs under test.
set -eu
cd "$(dirname "$0")"
python3 -B - lib/*.py */case.py <<'EOF'
import sys
import tomllib  # Python 3.11, as in Debian 12

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
EOF

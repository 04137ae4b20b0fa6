#!/bin/sh
# Builds the stand-ins of the review's scripts: they are Python, so this only
# checks that they compile.  The hosts are built by the deploy file's command.
set -e
cd "$(dirname "$0")"
exec python3 - standins/*.py ./*/case.py <<'END'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as f:
        compile(f.read(), name, "exec")
END

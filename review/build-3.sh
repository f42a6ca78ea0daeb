#!/usr/bin/env bash
# Builds the stand-ins of the third review.  They are Python and need no
# compiler: this checks the interpreter and the sources, and writes nothing.
set -e
cd "$(dirname "$0")"
python3 -B - standin-3/*.py 1[1-5]/case.py <<'EOF'
import sys
assert sys.version_info >= (3, 11), "needs Python 3.11 or later"
for path in sys.argv[1:]:
    with open(path) as f:
        compile(f.read(), path, "exec")
EOF

#!/bin/sh
# The stand-ins of the scripts are written in Python 3, which the packages of
# the deploy file bring along (libglib2.0-dev needs it).  Nothing is compiled;
# this checks that they can be run, and that the program has been built.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for f in standin/standin.py [1-5]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
done
test -x ../target/galenamountd

#!/bin/sh
# The stand-ins are Python programs that need only the standard library; there is nothing to compile.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in tests/platform/processes/site_processes.py tests/platform/processes/engine.py \
    tests/platform/processes/store.py review/lib/*.py review/[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done

#!/bin/sh
# Prepares the stand-ins of the cases. They are Python programs that need the standard library only.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || exit 1
exec python3 -c 'import ast, sys; [ast.parse(open(name).read(), name) for name in sys.argv[1:]]' standins.py */*.py

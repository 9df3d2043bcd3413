#!/bin/sh
# The stand-ins of these scripts (small_site.py) use the standard library alone, so that
# nothing has to be built; this checks that the Python in use can read them.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in [pathlib.Path("small_site.py"), *pathlib.Path().glob("[4-8]/*.py")]:
    ast.parse(path.read_text(), str(path))
'

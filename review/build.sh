#!/bin/sh
# Builds the stand-ins of the scripts. They are Python and use the libraries that the
# build of the deploy file has put into target/deps, so that this only proves that the
# stand-ins can be loaded.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:review python3 -B -c "import harness, standins.platform"

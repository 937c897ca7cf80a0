#!/bin/sh
# The stand-ins are Python modules that need no build but the deploy file's; this checks them.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:. exec python3 -c "import review.harness"

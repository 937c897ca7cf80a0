#!/bin/sh
# Plays the case and writes record.txt here; with TROUBLE=0 the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:. TROUBLE="${TROUBLE:-1}"
python3 -c "import review.harness" || exit 2
exec python3 -m review.1.case

#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
python3 -S -c "import tomllib" || exit 2
PYTHONPATH=. exec python3 -S review/3/case.py "${TROUBLE:-1}"

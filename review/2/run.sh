#!/bin/sh
# Plays the case; see claim.txt.  TROUBLE=0 leaves the disruption out.  `run.sh config` plays the same fault
# the other way round, with the answers to the watches of op/ lost, and checks CONFIG.
here=$(cd "$(dirname "$0")" && pwd)
case=case.py
[ "${1:-}" = config ] && case=config_case.py
PYTHONPATH="$here/../standins" exec python3 "$here/$case"

"""Exit codes of all commands."""

from __future__ import annotations

OK = 0
REFUSED = 1
BAD_INPUT = 2
NOT_IN_FORCE = 3
UNREACHABLE = 4

EXIT_CODES_HELP = f"""exit codes:
  {OK}  success
  {REFUSED}  refused: findings in the resources, or the platform or a balancer refused the request
  {BAD_INPUT}  bad usage or input
  {NOT_IN_FORCE}  not in force on every live balancer in time
  {UNREACHABLE}  the platform or the balancers cannot be reached
"""
"""The part of `--help` that documents the exit codes."""

"""Checkers: verify invariants from what callers and back ends observe and from the configurations in force.

No checker relies on a balancer's own report.  All checkers add their violations to one log.
"""

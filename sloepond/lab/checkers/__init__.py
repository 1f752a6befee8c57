"""Checkers: what must hold, judged by what callers and back ends saw, and by configurations in force.

No checker asks a balancer whether it did well.  Each adds its violations to one log.
"""

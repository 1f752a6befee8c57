"""Deadlines of components.

Compared with times of the node's clock, in seconds.
"""

from __future__ import annotations

NEVER = float("inf")
"""Deadline of a component that waits for no time."""

"""Deadlines of components."""

from __future__ import annotations

NEVER = float("inf")
"""Deadline of a component that waits for no time."""

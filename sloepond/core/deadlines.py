"""Deadlines of components, as times of the node's clock in seconds."""

from __future__ import annotations

NEVER = float("inf")
"""Deadline of a component that has no timer set."""

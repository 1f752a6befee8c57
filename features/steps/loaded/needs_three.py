"""Needs three other modules."""

from loaded import one, three, two

__all__ = ["one", "three", "two"]

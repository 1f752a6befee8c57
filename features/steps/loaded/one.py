"""Needed by `needs_three`."""

"""Failure scenarios with real processes under continuous load from callers."""

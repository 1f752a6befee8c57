"""Scenarios of real processes under failure, with callers running all the time."""

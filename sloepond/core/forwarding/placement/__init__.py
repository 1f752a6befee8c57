"""Decisions about packets: where each one goes, and which back end a new flow gets."""

"""Decisions about packets: where each one is forwarded, and which back end a new flow gets."""

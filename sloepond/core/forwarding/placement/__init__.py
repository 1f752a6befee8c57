"""Decides where each packet is forwarded and which back end a new flow gets."""

"""Adapter to the platform: its names, packet and store formats; makes no decisions."""

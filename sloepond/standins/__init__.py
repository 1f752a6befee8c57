"""Simulated platform, fabric, back ends and callers, used by tests and demos."""

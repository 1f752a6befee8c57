"""Costs of the core by size, fitted, and what they come to at the size it is built for."""

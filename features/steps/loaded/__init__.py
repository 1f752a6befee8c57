"""Modules that features load."""

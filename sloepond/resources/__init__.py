"""Declared state: resources, validation and the compiled configuration."""

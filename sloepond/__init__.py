"""A layer-4 load balancer for operators of regulated data."""

__version__ = "0.1.0"

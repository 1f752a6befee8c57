"""Measures of the real data path on loopback sockets, inside one process."""

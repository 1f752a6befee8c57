"""Encodes packets and messages and authenticates peers' datagrams, without I/O."""

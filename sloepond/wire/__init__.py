"""Encoding of packets and messages, and authentication of peers' datagrams, without I/O."""

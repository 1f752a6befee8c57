"""The daemon: sockets, clock, platform reader, probes and logs around the core."""

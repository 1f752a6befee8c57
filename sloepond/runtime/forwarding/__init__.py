"""I/O around the forwarding node; formats come from drivers."""

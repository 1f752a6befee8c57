"""The `sloepond` command line."""

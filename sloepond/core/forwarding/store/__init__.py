"""Reading, watching and probing the platform's store, and the staleness of what was read."""

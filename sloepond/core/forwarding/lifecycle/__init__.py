"""Start, planned stop, and waking after a stall."""

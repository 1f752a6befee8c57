"""Demo: a small fleet of real processes on loopback, with planned changes or injected failures."""

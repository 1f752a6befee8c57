"""The simulated lab: the core on a simulated clock and network."""

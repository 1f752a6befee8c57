"""The configuration in force and how it spreads between balancers."""

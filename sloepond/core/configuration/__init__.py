"""The configuration in force, and its distribution between balancers."""

"""Which back ends are unreachable or failing, and which flows are reset for it."""

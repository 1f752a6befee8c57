"""Health of back ends: which are unreachable or ejected, and which flows are reset for it."""

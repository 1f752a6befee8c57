"""Health of back ends: determines which are unreachable or ejected, and resets flows of unreachable ones."""

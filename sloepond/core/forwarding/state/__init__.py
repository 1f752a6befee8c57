"""State that a balancer holds in memory: back ends, routes and evacuated halls, as last confirmed."""

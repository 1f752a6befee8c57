"""Start of a balancer, planned stop, and recovery after a stall."""

"""Observes callers' packets: requests in flight, latencies and unanswered requests of back ends."""

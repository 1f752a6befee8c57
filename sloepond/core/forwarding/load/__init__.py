"""What callers' packets tell about back ends: requests under way, latencies, unanswered requests."""

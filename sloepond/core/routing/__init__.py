"""Flows: partitions, replicas, records and placement."""

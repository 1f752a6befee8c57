"""Requests of a flow: at-most-once ledger, retries and answers."""

"""Forwarding by routing token: each packet names its back end, no flow is stored."""

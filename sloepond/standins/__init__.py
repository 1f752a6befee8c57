"""Stand-ins for the platform, the fabric, back ends and callers, for tests and demos."""

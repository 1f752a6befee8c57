"""Health and load of back ends."""

"""Members, views and leases of a cell."""

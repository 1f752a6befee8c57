"""Reading and watching the platform's store, and the age of what was read."""

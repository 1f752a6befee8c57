"""The sans-I/O core: events in, commands out."""

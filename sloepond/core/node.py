"""The node: takes events, returns commands.  Under construction."""

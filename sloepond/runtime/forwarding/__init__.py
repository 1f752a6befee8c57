"""The forwarding balancer as a process: sockets, event loop, HTTP, logs and metrics around its node."""

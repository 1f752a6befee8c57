"""The balancer processes: sockets, clocks, platform access, settings, signals and logs around the core."""

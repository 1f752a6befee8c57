"""The lab: runs balancers on a simulated clock and network, injects faults and checks invariants.

A run is determined by its scenario (`lab/scenarios/*.toml`) and seed.  `runner` is the entry point,
`world` the simulation, `director` injects the faults and `checkers` verifies the invariants.  Everything
between the callers and the back ends is the code that the daemon runs, from `core.node` down.
"""

"""The lab: the balancer's node on a simulated clock and network, with faults, and checkers of what must hold.

A scenario (`lab/scenarios/*.toml`) and a seed give one run, always the same.  `runner` is the entry,
`world` the simulation, `director` the faults, `checkers` the judges.  Everything between the callers
and the back ends is the code that the daemon runs, from `core.node` down.
"""

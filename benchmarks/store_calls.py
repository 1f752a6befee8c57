"""Measures how often a fleet calls the store while back ends change, by kind of call and fleet size.

Prints for each size and rate of changes the calls of all balancers a second.  Runs fleets of real nodes on
the simulated network and store of the features, without loss:

    PYTHONPATH=features/steps python benchmarks/store_calls.py

Counts are exact for the seed.
"""

from __future__ import annotations

import collections

from forwarding_fleet import Fleet

from sloepond.core.forwarding.state.backend_records import BackendState

SIZES = (7, 300)
"""Balancers of each fleet."""
CHANGES_PER_S = (0.0, 0.43, 10.0)
"""Changes of back ends a second; 0.43 is the rate at the size that sloepond is built for."""
SETTLE_S = 12.0
"""Simulated time before the measurement, in which readers are elected and all lists are read."""
MEASURE_S = 20.0
"""Simulated duration of the measurement."""
STEP_S = 0.1
"""Simulated time between two moments at which back ends may change."""


class CountingFleet(Fleet):
    """A fleet that counts its calls to the store by kind."""

    def __init__(self, count):
        self.kinds = collections.Counter()
        super().__init__(count)

    def call(self, ip, node, command):
        """Count a call and make it."""
        self.kinds[type(command).__name__] += 1
        super().call(ip, node, command)


def change(fleet, changes_per_s):
    """Run a fleet while its back ends change at a rate, each between ready and leaving."""
    due, number = 0.0, 0
    for _ in range(round(MEASURE_S / STEP_S)):
        due += changes_per_s * STEP_S
        while due >= 1.0:
            due -= 1.0
            number += 1
            state = (BackendState.READY, BackendState.LEAVING)[number % 2]
            fleet.store.put(100 + number // 2, fleet.now, state)
        fleet.run(STEP_S)


def main() -> None:
    """Print one line for each size and rate."""
    for size in SIZES:
        for rate in CHANGES_PER_S:
            fleet = CountingFleet(size)
            fleet.run(SETTLE_S)
            fleet.kinds.clear()
            change(fleet, rate)
            counts = "  ".join(f"{kind} {n / MEASURE_S:.2f}" for kind, n in sorted(fleet.kinds.items()))
            print(f"{size} balancers, {len(fleet.readers())} readers, {rate} changes/s: {counts}")


if __name__ == "__main__":
    main()

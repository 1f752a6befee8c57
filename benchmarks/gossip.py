"""What reader election and gossip cost each balancer without traffic, by the size of the fleet.

Prints for each size: readers, calls to the store, and per balancer datagrams, bytes and processor
time a second.  Runs fleets of real nodes on the simulated network of the features, without losses:

    PYTHONPATH=features/steps python benchmarks/gossip.py

Counts are exact for the seed; processor time is that of this machine, all nodes in one
process, datagrams delivered by function calls.
"""

from __future__ import annotations

import time

import msgspec
from forwarding_fleet import Fleet

SIZES = (20, 40, 120, 300)
"""Balancers of each fleet."""
SETTLE_S = 12.0
"""Simulated time before measuring, in seconds: readers are elected and all lists are read."""
MEASURE_S = 5.0
"""Simulated time measured, in seconds."""
HEADER_BYTES = 28
"""IPv4 and UDP headers of a datagram."""


class CountingFleet(Fleet):
    """Counts the bytes of the datagrams."""

    sent_bytes = 0

    def send(self, ip, command):
        """Send a datagram."""
        self.sent_bytes += HEADER_BYTES + len(msgspec.msgpack.encode(command.message))
        super().send(ip, command)


def main() -> None:
    """Print one line for each size."""
    print("balancers  readers  calls/s  datagrams/s each  bytes/s each  processor ms/s each")
    for size in SIZES:
        fleet = CountingFleet(size)
        fleet.run(SETTLE_S)
        datagrams, sent, calls = fleet.datagrams, fleet.sent_bytes, fleet.store.calls
        begun = time.process_time()
        fleet.run(MEASURE_S)
        each = MEASURE_S * size
        spent_ms = (time.process_time() - begun) * 1000.0
        print(
            f"{size:9}  {len(fleet.readers()):7}  {(fleet.store.calls - calls) / MEASURE_S:7.1f}"
            f"  {(fleet.datagrams - datagrams) / each:16.1f}  {(fleet.sent_bytes - sent) / each:12.0f}"
            f"  {spent_ms / each:19.2f}"
        )


if __name__ == "__main__":
    main()

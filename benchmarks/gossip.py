"""Measures the cost of reader election and gossip per balancer without traffic, by fleet size.

Prints for each size: readers, calls to the store, and per balancer datagrams, bytes and processor
time per second.  Runs fleets of real nodes on the simulated network of the features, without loss:

    PYTHONPATH=features/steps python benchmarks/gossip.py

Counts are exact for the seed.  Processor time is that of this machine, with all nodes in one
process and datagrams delivered by function calls.
"""

from __future__ import annotations

import time

import msgspec
from forwarding_fleet import Fleet

SIZES = (20, 40, 120, 300)
"""Balancers of each fleet."""
SETTLE_S = 12.0
"""Simulated time before the measurement, in which readers are elected and all lists are read."""
MEASURE_S = 5.0
"""Simulated duration of the measurement."""
HEADER_BYTES = 28
"""IPv4 and UDP headers of a datagram."""


class CountingFleet(Fleet):
    """A fleet that counts the bytes of its datagrams, headers included."""

    sent_bytes = 0

    def send(self, ip, command):
        """Count the bytes of a datagram and send it."""
        self.sent_bytes += HEADER_BYTES + len(msgspec.msgpack.encode(command.message))
        super().send(ip, command)


def main() -> None:
    """Print one line for each size."""
    print("balancers  readers  calls/s  datagrams/s each  bytes/s each  processor ms/s each")
    for size in SIZES:
        fleet = CountingFleet(size)
        fleet.run(SETTLE_S)
        datagrams, sent, calls = fleet.datagrams, fleet.sent_bytes, fleet.store.calls
        started_at = time.process_time()
        fleet.run(MEASURE_S)
        each = MEASURE_S * size
        spent_ms = (time.process_time() - started_at) * 1000.0
        print(
            f"{size:9}  {len(fleet.readers()):7}  {(fleet.store.calls - calls) / MEASURE_S:7.1f}"
            f"  {(fleet.datagrams - datagrams) / each:16.1f}  {(fleet.sent_bytes - sent) / each:12.0f}"
            f"  {spent_ms / each:19.2f}"
        )


if __name__ == "__main__":
    main()

"""Flows and entries of hollow fleets."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from sloepond.core.messages import FlowEntry, FlowLookedUp, FlowLookupRequested
from sloepond.core.packets import FlowKey
from sloepond.core.routing.flow_table import FlowTable
from sloepond.core.routing.ring import Ring
from sloepond.lab.balancer import ENVELOPE_BYTES
from sloepond.lab.capacity.hollow_fleet import HollowFleet
from sloepond.wire.codec import encode_message

SERVICE_ADDRESS = "10.255.0.1:7000"
"""Address of the first service of `core_costs.declared_targets`."""
EPOCH = 1
SAMPLE_NAME = "balancer-1000"
INCARNATION_STEP = 0x9E3779B97F4A7C15
INCARNATION_MASK = (1 << 63) - 1


def sample_keys() -> Iterator[FlowKey]:
    """Yield different flows, each of another caller."""
    for number in itertools.count(1):
        caller = (
            f"100.{number // 62_500 % 250}.{number // 250 % 250}.{number % 250}:{10_000 + number % 50_000}"
        )
        yield FlowKey(SERVICE_ADDRESS, caller, number * INCARNATION_STEP & INCARNATION_MASK)


def sample_entry(key: FlowKey, number: int) -> FlowEntry:
    """Return an entry of an established flow that has sent 20 requests."""
    backend = number % 40
    return FlowEntry(
        flow=key,
        backend=f"target-{backend}",
        backend_address=f"10.0.0.{backend + 1}:8000",
        epoch=EPOCH,
        sequence=7,
        established=True,
        highest_request=20,
        seen_requests=(1 << 20) - 1,
    )


def lookup_exchange_bytes() -> int:
    """Return the UDP payload of one lookup of a flow and its answer."""
    key = next(sample_keys())
    question = encode_message(FlowLookupRequested(EPOCH, EPOCH, key))
    answer = encode_message(FlowLookedUp(EPOCH, EPOCH, sample_entry(key, EPOCH)))
    return len(question) + len(answer) + 2 * (ENVELOPE_BYTES + len(SAMPLE_NAME))


def fill_tables(fleet: HollowFleet, entries_per_balancer: int) -> None:
    """Give every balancer of a fleet of one cell the entries its partitions would have."""
    routing = fleet.settings.routing
    some = next(iter(fleet.nodes.values())).node
    ring = Ring(some.membership.view, routing.partitions, routing.replicas)
    tables: dict[str, FlowTable] = {host.member.name: host.node.flows for host in fleet.nodes.values()}
    flows = entries_per_balancer * len(tables) // min(routing.replicas, len(tables))
    now = fleet.queue.now
    for number, key in enumerate(itertools.islice(sample_keys(), flows)):
        entry = sample_entry(key, number)
        partition = some.flows.partition_of(key)
        for member in ring.replicas_of(partition):
            tables[member.name].merge(partition, entry, now)

"""Flows this balancer holds, as primary or backup, by partition."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import xxhash

from sloepond.core.messages import FlowEntry
from sloepond.core.packets import FlowKey
from sloepond.core.requests import ledger as ledgers
from sloepond.core.requests.ledger import Ledger
from sloepond.core.routing.local_load import LocalBackendLoad
from sloepond.core.routing.ring import flow_hash

NEVER_CONFIRMED = -1
"""`Flow.confirmed_epoch` of an entry not yet read back from other replicas."""

LEDGER_LOST = 1 << 62
"""`Flow.fresh_above` of a flow whose ledger was lost: every id may have been used."""


class Flow(msgspec.Struct, gc=False):
    """State of one flow on one replica.

    :ivar epoch: epoch of the last record made by a primary.
    :ivar sequence: version within the epoch; (epoch, sequence) orders entries.
    :ivar established: whether this replica knows the back end has accepted it.
    :ivar confirmed_epoch: epoch in which this replica, acting as primary, knew
        all that the replicas of former epochs knew.
    :ivar fresh_above: see `FlowEntry.fresh_above`.
    :ivar last_active: seconds of the node's clock.
    :ivar partition: partition of the flow, set by the table.
    :ivar placed_here: whether it counts in `LocalBackendLoad.open_flows`.
    """

    key: FlowKey
    backend: str
    backend_address: str
    epoch: int
    sequence: int
    established: bool = False
    ledger: Ledger = Ledger()
    confirmed_epoch: int = NEVER_CONFIRMED
    fresh_above: int = 0
    last_active: float = 0.0
    last_recorded: float = 0.0
    placed_here: bool = False
    partition: int = 0

    def version(self) -> tuple[int, int]:
        """Return the order of this version of the entry."""
        return (self.epoch, self.sequence)


def entry_of(flow: Flow, ledger: Ledger) -> FlowEntry:
    """Return the message form of a flow with the given ledger."""
    return FlowEntry(
        flow=flow.key,
        backend=flow.backend,
        backend_address=flow.backend_address,
        epoch=flow.epoch,
        sequence=flow.sequence,
        established=flow.established,
        highest_request=ledger.highest,
        seen_requests=ledger.bitmap,
        fresh_above=flow.fresh_above,
    )


class FlowTable:
    """All entries of one balancer.

    :param load: counts the flows this balancer placed or took over as primary.
    """

    __slots__ = ("_digests", "_index", "_load", "_names", "_partitions", "partitions")

    def __init__(self, partitions: int, load: LocalBackendLoad) -> None:
        self.partitions = partitions
        self._load = load
        self._partitions: list[dict[FlowKey, Flow]] = [{} for _ in range(partitions)]
        self._digests: list[int | None] = [0] * partitions
        self._index: dict[FlowKey, Flow] = {}
        self._names: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._index)

    def partition_of(self, key: FlowKey) -> int:
        """Return the partition a flow belongs to."""
        return flow_hash(key) % self.partitions

    def find(self, key: FlowKey) -> Flow | None:
        """Return the entry of a flow; its partition need not be known."""
        return self._index.get(key)

    def get(self, partition: int, key: FlowKey) -> Flow | None:
        """Return the entry of a flow in its partition, None if there is none."""
        return self._partitions[partition].get(key)

    def add(self, partition: int, flow: Flow) -> Flow:
        """Add an entry; back end names are shared between entries to save memory."""
        flow.backend = self._names.setdefault(flow.backend, flow.backend)
        flow.backend_address = self._names.setdefault(flow.backend_address, flow.backend_address)
        self._digests[partition] = None
        flow.partition = partition
        self._partitions[partition][flow.key] = flow
        self._index[flow.key] = flow
        return flow

    def remove(self, partition: int, key: FlowKey) -> Flow | None:
        """Remove an entry and return it."""
        flow = self._partitions[partition].pop(key, None)
        if flow is None:
            return None
        del self._index[key]
        self._digests[partition] = None
        self.release(flow)
        return flow

    def entries_of(self, partition: int) -> Iterator[Flow]:
        """Iterate over a snapshot of one partition's entries."""
        return iter(tuple(self._partitions[partition].values()))

    def entry_count(self, partition: int) -> int:
        """Return how many entries one partition has."""
        return len(self._partitions[partition])

    def note_change(self, partition: int) -> None:
        """Note that a flow of a partition was changed in place."""
        self._digests[partition] = None

    def digest_of(self, partition: int) -> int:
        """Return a 64-bit digest of a partition's content, the same on equal replicas.

        It covers back end and ledger of each flow, not the versions.
        """
        digest = self._digests[partition]
        if digest is None:
            digest = 0
            for flow in self._partitions[partition].values():
                digest ^= _digest_of(flow)
            self._digests[partition] = digest
        return digest

    def claim_locally(self, flow: Flow) -> None:
        """Count a flow as this balancer's own at its back end."""
        if not flow.placed_here:
            flow.placed_here = True
            self._load.flow_added(flow.backend)

    def release(self, flow: Flow) -> None:
        """Stop counting a flow as this balancer's own."""
        if flow.placed_here:
            flow.placed_here = False
            self._load.flow_removed(flow.backend)

    def merge(self, partition: int, entry: FlowEntry, now: float) -> Flow:
        """Take what another replica knows: the newer version, both ledgers.

        :returns: the entry now held.
        """
        incoming = Ledger(entry.highest_request, entry.seen_requests)
        flow = self.get(partition, entry.flow)
        if flow is None:
            return self.add(partition, _flow_of(entry, incoming, now))
        self._digests[partition] = None
        flow.ledger = ledgers.merge(flow.ledger, incoming)
        is_newer = (entry.epoch, entry.sequence) > flow.version()
        if is_newer and not contradicts(flow, entry):
            self._replace(flow, entry)
        return flow

    def _replace(self, flow: Flow, entry: FlowEntry) -> None:
        if flow.backend != entry.backend:
            self.release(flow)
            flow.backend = self._names.setdefault(entry.backend, entry.backend)
            flow.backend_address = self._names.setdefault(entry.backend_address, entry.backend_address)
            flow.established = entry.established
        flow.established = flow.established or entry.established
        flow.epoch = entry.epoch
        flow.sequence = entry.sequence
        flow.fresh_above = entry.fresh_above


def contradicts(flow: Flow, entry: FlowEntry) -> bool:
    """Return whether an entry would move a flow that a back end has accepted."""
    return flow.established and not entry.established and flow.backend != entry.backend


def _digest_of(flow: Flow) -> int:
    content = (flow.key, flow.backend, flow.ledger, flow.fresh_above)
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(content))


def _flow_of(entry: FlowEntry, ledger: Ledger, now: float) -> Flow:
    return Flow(
        key=entry.flow,
        backend=entry.backend,
        backend_address=entry.backend_address,
        epoch=entry.epoch,
        sequence=entry.sequence,
        established=entry.established,
        ledger=ledger,
        fresh_above=entry.fresh_above,
        last_active=now,
        last_recorded=now,
    )

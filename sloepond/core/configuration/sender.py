"""Sends deltas and snapshots to balancers that request them.

Owns encoded transfers, the balancers that wait for one, and the rate limit of all sends.  Relies on
`ConfigurationStore` for the generation in force.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from sloepond.core.configuration.delta import ConfigurationDelta, DeltaHistory
from sloepond.core.configuration.encoding import encode_delta, encode_slices, part_count, part_of
from sloepond.core.configuration.sliced_work import SLICE_UNITS, SlicedWork
from sloepond.core.context import NodeContext
from sloepond.core.messages import ConfigurationPart, ConfigurationRequested
from sloepond.core.settings import ConfigurationSettings
from sloepond.core.token_bucket import TokenBucket
from sloepond.resources.compiled import CompiledConfiguration

WINDOW_PARTS = 32
"""Parts sent for one request; the receiver requests the next ones."""
CACHED_TRANSFERS = 4
"""Encoded transfers kept, so that a transfer in progress can be completed after a newer generation has come
into force."""
MAXIMUM_WAITING_PEERS = 16
"""Maximum number of balancers that wait for a transfer to be encoded; others must repeat their request."""


class Transfer(msgspec.Struct, frozen=True):
    """An encoded delta or snapshot.

    :ivar base_generation: generation the delta applies to; 0 for a snapshot.
    """

    generation: int
    digest: str
    base_generation: int
    data: bytes


class ConfigurationSender:
    """Answers requests from the generation in force, at a bounded rate.

    A whole snapshot is encoded in slices; balancers that request it meanwhile wait.
    """

    def __init__(
        self, context: NodeContext, settings: ConfigurationSettings, slice_units: int = SLICE_UNITS
    ) -> None:
        self._context = context
        self._part_bytes = settings.part_bytes
        self._history = DeltaHistory(settings.delta_history)
        self._transfers: OrderedDict[tuple[int, int], Transfer] = OrderedDict()
        self._encoding: SlicedWork[bytes] = SlicedWork(context, slice_units)
        self._waiting: dict[str, ConfigurationRequested] = {}
        self._bucket = TokenBucket(
            settings.bytes_per_second, max(settings.bytes_per_second, WINDOW_PARTS * settings.part_bytes)
        )

    def generation_applied(self, previous: int, current: int, delta: ConfigurationDelta) -> None:
        """Add the delta from the previous generation to the history."""
        self._history.add(previous, current, delta)

    def request_received(
        self, address: str, request: ConfigurationRequested, in_force: CompiledConfiguration
    ) -> None:
        """Send the requested parts, as far as the rate limit allows."""
        if in_force.generation <= request.have_generation or request.part < 0:
            return
        if in_force.generation < request.want_generation:
            return
        transfer = self._transfer_for(request, in_force)
        if transfer is not None:
            self._send_window(address, request, transfer)
        elif len(self._waiting) < MAXIMUM_WAITING_PEERS:
            self._waiting[address] = request

    def _send_window(self, address: str, request: ConfigurationRequested, transfer: Transfer) -> None:
        count = part_count(transfer.data, self._part_bytes)
        for part in range(request.part, min(request.part + WINDOW_PARTS, count)):
            data = part_of(transfer.data, self._part_bytes, part)
            if not self._bucket.take(self._context.now, len(data)):
                return
            self._send(address, transfer, part, count, data)

    def _transfer_for(
        self, request: ConfigurationRequested, in_force: CompiledConfiguration
    ) -> Transfer | None:
        """Return the transfer that answers a request; None while it is being encoded."""
        for base in (request.have_generation, 0):
            started = self._transfers.get((base, request.want_generation))
            if started is not None and request.part > 0:
                return started
        delta = self._history.since(request.have_generation) if request.have_generation else None
        base = 0 if delta is None else request.have_generation
        cached = self._transfers.get((base, in_force.generation))
        if cached is not None:
            return cached
        if delta is None:
            return self._start_snapshot(in_force)
        return self._remember(Transfer(in_force.generation, in_force.digest, base, encode_delta(delta)))

    def _start_snapshot(self, in_force: CompiledConfiguration) -> Transfer | None:
        """Start to encode the generation in force; return the transfer if it is complete after one slice."""
        if not self._encoding.is_busy:
            snapshot = ConfigurationDelta(tuple(in_force.content.resources), ())
            self._encoding.start(encode_slices(snapshot), lambda data: self._snapshot_encoded(in_force, data))
        return self._transfers.get((0, in_force.generation))

    def _snapshot_encoded(self, in_force: CompiledConfiguration, data: bytes) -> None:
        transfer = self._remember(Transfer(in_force.generation, in_force.digest, 0, data))
        waiting = self._waiting
        self._waiting = {}
        for address, request in waiting.items():
            if request.want_generation <= transfer.generation:
                self._send_window(address, request, transfer)

    def next_deadline(self) -> float:
        """Return when the next slice of the encoding is due."""
        return self._encoding.next_deadline()

    def on_timer(self) -> None:
        """Continue the encoding in progress."""
        self._encoding.on_timer()

    def _remember(self, transfer: Transfer) -> Transfer:
        self._transfers[(transfer.base_generation, transfer.generation)] = transfer
        if len(self._transfers) > CACHED_TRANSFERS:
            self._transfers.popitem(last=False)
        return transfer

    def _send(self, address: str, transfer: Transfer, part: int, count: int, data: bytes) -> None:
        self._context.counters.configuration_parts_sent += 1
        message = ConfigurationPart(
            generation=transfer.generation,
            digest=transfer.digest,
            base_generation=transfer.base_generation,
            part=part,
            parts=count,
            data=data,
        )
        self._context.send_to_peer(address, message)

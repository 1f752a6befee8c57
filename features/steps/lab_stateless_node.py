"""The base class of the broken nodes in the lab's tests.

Each process decides alone: it selects a back end by rendezvous hashing over the configuration it
has read, caches the selection, and does not communicate with other balancers.  Without faults it
keeps every promise, so a broken promise in a test is caused by the subclass.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from hashlib import blake2b

from sloepond.core.caller_packets import backend_packet, caller_reply, refusal_of
from sloepond.core.commands import (
    Command,
    CompleteStop,
    ReadConfiguration,
    SendToBackend,
    SendToCaller,
)
from sloepond.core.counters import Counters
from sloepond.core.deadlines import NEVER
from sloepond.core.events import (
    BackendReplyReceived,
    CallerPacketReceived,
    ConfigurationRead,
    Event,
    StopRequested,
    TimerFired,
)
from sloepond.core.messages import Member
from sloepond.core.packets import (
    CallerPacket,
    CallerPacketKind,
    FlowKey,
)
from sloepond.core.settings import NodeSettings
from sloepond.resources.compiled import EMPTY_CONFIGURATION, CompiledConfiguration
from sloepond.resources.compiled_items import CompiledBackend

HASH_BYTES = 8
STOP_DELAY_S = 3.0
"""Duration of a planned stop, seconds: more than the lag after which the fabric applies it, 2 s."""


class StatelessConfiguration:
    """Holds the latest generation read."""

    def __init__(self) -> None:
        self.in_force: CompiledConfiguration = EMPTY_CONFIGURATION


class StatelessNode:
    """A stateless node; implements `sloepond.lab.hosting.LabNode`."""

    def __init__(self, identity: Member, settings: NodeSettings, random_source: random.Random) -> None:
        self.identity = identity
        self.configuration = StatelessConfiguration()
        self.counters = Counters()
        self._settings = settings
        self._random = random_source
        self._cache: dict[FlowKey, str] = {}
        self._next_read = 0.0
        self._stop_at = NEVER

    def start(self, now: float) -> list[Command]:
        """Read the configuration."""
        return self._read(now)

    def next_deadline(self) -> float:
        """Return the time of the next read or of the end of a planned stop."""
        return min(self._next_read, self._stop_at)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle one event."""
        if isinstance(event, CallerPacketReceived):
            self.counters.caller_packets += 1
            return self._caller_packet(event.packet)
        if isinstance(event, BackendReplyReceived):
            return [SendToCaller(caller_reply(event.reply))]
        if isinstance(event, TimerFired):
            return self._on_timer(now)
        if isinstance(event, ConfigurationRead):
            self._configuration_read(event)
        elif isinstance(event, StopRequested):
            self._stop_at = now + STOP_DELAY_S
        return []

    def _on_timer(self, now: float) -> list[Command]:
        if now >= self._stop_at:
            return [CompleteStop()]
        return self._read(now) if now >= self._next_read else []

    def _read(self, now: float) -> list[Command]:
        self._next_read = now + self._settings.configuration.read_interval_s
        return [ReadConfiguration(self.configuration.in_force.generation)]

    def _configuration_read(self, event: ConfigurationRead) -> None:
        if event.snapshot.generation > self.configuration.in_force.generation:
            self.configuration.in_force = CompiledConfiguration(event.snapshot)

    def _caller_packet(self, packet: CallerPacket) -> list[Command]:
        address = self._cache.get(packet.flow) or self._select_backend(packet.flow)
        if address is None:
            return [SendToCaller(refusal_of(packet))]
        if packet.kind is CallerPacketKind.CLOSE:
            self._cache.pop(packet.flow, None)
        else:
            self._cache[packet.flow] = address
        return [SendToBackend(address, backend_packet(packet))]

    def _select_backend(self, flow: FlowKey) -> str | None:
        service = self.configuration.in_force.services_by_address.get(flow.service_address)
        if service is None or not service.eligible_backends:
            return None
        return rendezvous_choice(flow, service.eligible_backends).address


def rendezvous_choice(flow: FlowKey, backends: Sequence[CompiledBackend]) -> CompiledBackend:
    """Return the back end with the highest hash of its name and the flow."""

    def score(backend: CompiledBackend) -> bytes:
        return blake2b(f"{backend.name} {flow}".encode(), digest_size=HASH_BYTES).digest()

    return max(backends, key=score)

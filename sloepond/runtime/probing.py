"""Probing back ends for health and load."""

from __future__ import annotations

import abc
import collections
from collections.abc import Callable

import msgspec

from sloepond.core.commands import ProbeBackend, SendToBackend
from sloepond.core.deadlines import NEVER
from sloepond.core.events import BackendProbed
from sloepond.core.packets import (
    BackendPacket,
    BackendReply,
    BackendReplyKind,
    CallerPacketKind,
    FlowKey,
)

PROBE_SERVICE_ADDRESS = "probe"
"""Service address in the flow key of a probe; no service has it."""

PROBE_INCARNATION = 0

BackendSender = Callable[[SendToBackend], None]
"""Sends a packet to a back end."""


class ProbeDriver(abc.ABC):
    """One way to ask a back end for its health and load.

    A driver for another endpoint implements these methods; each probe that was
    started ends with one `BackendProbed`, returned by `take_reply` or `on_time`.
    """

    @abc.abstractmethod
    def start(self, probe: ProbeBackend, now: float) -> None:
        """Start a probe without waiting."""

    @abc.abstractmethod
    def take_reply(self, backend_address: str, reply: BackendReply) -> BackendProbed | None:
        """Take a packet from a back end; return the end of a probe, if it is one."""

    @abc.abstractmethod
    def next_deadline(self) -> float:
        """Return when `on_time` is next needed, `NEVER` if not."""

    @abc.abstractmethod
    def on_time(self, now: float) -> list[BackendProbed]:
        """Return the probes that have ended without an answer by `now`."""


class _PendingProbe(msgspec.Struct, frozen=True):
    """A probe that waits for its answer until `deadline`."""

    probe: ProbeBackend
    deadline: float


class KeepaliveProbeDriver(ProbeDriver):
    """Probes with a KEEPALIVE packet; the ALIVE reply carries the load.

    An empty payload of the reply means healthy; any other states why not.

    Pending probes are bounded by the rate the core asks for and the timeout.

    :param own_address: back-end-facing address `ip:port` of this balancer.
    :param timeout_s: seconds until a probe counts as unanswered.
    """

    def __init__(self, own_address: str, timeout_s: float, send: BackendSender) -> None:
        self._flow = FlowKey(PROBE_SERVICE_ADDRESS, own_address, PROBE_INCARNATION)
        self._timeout_s = timeout_s
        self._send = send
        self._sequence = 0
        self._pending: collections.OrderedDict[int, _PendingProbe] = collections.OrderedDict()

    def start(self, probe: ProbeBackend, now: float) -> None:
        """Send a KEEPALIVE packet with the next sequence number."""
        self._sequence += 1
        self._pending[self._sequence] = _PendingProbe(probe, now + self._timeout_s)
        packet = BackendPacket(CallerPacketKind.KEEPALIVE, self._flow, request_id=self._sequence)
        self._send(SendToBackend(probe.address, packet))

    def take_reply(self, backend_address: str, reply: BackendReply) -> BackendProbed | None:
        """Match an ALIVE reply with its probe by sequence number and source."""
        pending = self._pending.get(reply.request_id)
        if pending is None or pending.probe.address != backend_address:
            return None
        if reply.kind is not BackendReplyKind.ALIVE:
            return None
        del self._pending[reply.request_id]
        return BackendProbed(pending.probe.backend, reply.load, healthy=not reply.payload)

    def next_deadline(self) -> float:
        """Return the deadline of the oldest pending probe."""
        if not self._pending:
            return NEVER
        return next(iter(self._pending.values())).deadline

    def on_time(self, now: float) -> list[BackendProbed]:
        """Return the probes whose time is over; all wait equally long."""
        ended: list[BackendProbed] = []
        while self._pending and self.next_deadline() <= now:
            _, pending = self._pending.popitem(last=False)
            ended.append(BackendProbed(pending.probe.backend, None, healthy=False))
        return ended


def is_probe_reply(reply: BackendReply) -> bool:
    """Return whether a back end's packet is about a probe and not about a flow."""
    return reply.flow.service_address == PROBE_SERVICE_ADDRESS

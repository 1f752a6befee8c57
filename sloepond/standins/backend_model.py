"""A back end without I/O: packets and time in, replies out.

Owns: the open flows, the queued and running requests, and the list of all executions.  Without
`ordered_flows` requests are not deduplicated: a request that arrives twice is run twice, and
`executions` shows both.  Relies on: its host for the time and the transport of packets, and on
the given source for all random choices.
"""

from __future__ import annotations

import collections
import heapq
import random

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.packets import (
    BackendPacket,
    BackendReply,
    BackendReplyKind,
    CallerPacketKind,
    FlowKey,
    LoadReport,
)
from sloepond.standins.backend_record import BackendCounters, BackendOutput, Execution
from sloepond.standins.backend_replies import answer_parts, pushed_item
from sloepond.standins.backend_settings import BackendSettings
from sloepond.standins.content import FEED_PAYLOAD, BackendIdentity, encode_content
from sloepond.standins.feed_schedule import FeedSchedule


class _HeldFlow(msgspec.Struct):
    """An open flow, the address and token of its last packet and its requests.

    :ivar started: ids of the requests that were started.
    :ivar accepted: replies sent so far to each request, by request id; sent again if the request
        is retransmitted on an ordered flow.
    """

    address: str
    token: int = 0
    started: set[int] = msgspec.field(default_factory=set)
    accepted: dict[int, list[BackendReply]] = msgspec.field(default_factory=dict)


class _AcceptedRequest(msgspec.Struct, frozen=True):
    """A queued or running request; it is refused if not started by `deadline`."""

    packet: BackendPacket
    source: str
    deadline: float


class BackendModel:
    """State of one back end.

    :ivar executions: every request that was started, in order.
    :ivar draining: whether new flows are refused.
    """

    def __init__(
        self, identity: BackendIdentity, settings: BackendSettings, random_source: random.Random
    ) -> None:
        self.identity = identity
        self.settings = settings
        self.draining = False
        self.counters = BackendCounters()
        self.executions: list[Execution] = []
        self._random = random_source
        self._identity_payload = encode_content(identity)
        self._flows: dict[FlowKey, _HeldFlow] = {}
        self._queue: collections.deque[_AcceptedRequest] = collections.deque()
        self._running: list[tuple[float, int, _AcceptedRequest]] = []
        self._feeds = FeedSchedule()
        self._started_at: float | None = None
        self._load = LoadReport(0, 0)
        self._load_sampled_at = -NEVER

    @property
    def flows(self) -> int:
        """Number of open flows."""
        return len(self._flows)

    @property
    def in_flight(self) -> int:
        """Number of running and queued requests."""
        return len(self._running) + len(self._queue)

    def holds(self, flow: FlowKey) -> bool:
        """Return whether `flow` is open."""
        return flow in self._flows

    def next_deadline(self) -> float:
        """Return when `on_timer` is next needed, infinity if never."""
        finish = self._running[0][0] if self._running else NEVER
        return min(finish, self._feeds.next_deadline())

    def on_timer(self, now: float) -> list[BackendOutput]:
        """Finish requests, start queued ones and push the feed items that are due."""
        outputs: list[BackendOutput] = []
        while self._running and self._running[0][0] <= now:
            _, number, request = heapq.heappop(self._running)
            self._answer(request, number, now, outputs)
        self._start_queued(now, outputs)
        self._push_due(now, outputs)
        return outputs

    def handle(self, packet: BackendPacket, source: str, now: float) -> list[BackendOutput]:
        """Handle one packet from `source` and return the replies.

        :param source: address `ip:port` of the balancer.
        :param now: seconds on the back end's clock.
        """
        if self._started_at is None:
            self._started_at = now
        self.counters.packets += 1
        outputs = self.on_timer(now)
        if packet.kind is CallerPacketKind.OPEN:
            self._open(packet, source, now, outputs)
        elif packet.flow in self._flows:
            self._handle_held(packet, source, now, outputs)
        elif packet.kind is not CallerPacketKind.CLOSE:
            self.counters.flow_unknown += 1
            self._reply(BackendReplyKind.FLOW_UNKNOWN, packet, source, now, outputs)
        return outputs

    def _handle_held(
        self, packet: BackendPacket, source: str, now: float, outputs: list[BackendOutput]
    ) -> None:
        held = self._flows[packet.flow]
        held.address = source
        held.token = packet.token
        if packet.kind is CallerPacketKind.REQUEST:
            self._accept(packet, source, now, outputs)
        elif packet.kind is CallerPacketKind.CANCEL:
            self._cancel(packet, source, now, outputs)
        elif packet.kind is CallerPacketKind.CLOSE:
            self._flows.pop(packet.flow)
            self._feeds.unsubscribe(packet.flow)
        else:
            self._reply(BackendReplyKind.ALIVE, packet, source, now, outputs, self._identity_payload)

    def _open(self, packet: BackendPacket, source: str, now: float, outputs: list[BackendOutput]) -> None:
        held = self._flows.get(packet.flow)
        if held is not None:
            held.address = source
        elif self.draining or len(self._flows) >= self.settings.connections:
            self.counters.open_refused += 1
            self._reply(BackendReplyKind.REFUSED, packet, source, now, outputs)
            return
        else:
            self.counters.opened += 1
            self._flows[packet.flow] = _HeldFlow(source, packet.token)
        self._reply(BackendReplyKind.OPENED, packet, source, now, outputs, self._identity_payload)

    def _accept(self, packet: BackendPacket, source: str, now: float, outputs: list[BackendOutput]) -> None:
        held = self._flows[packet.flow]
        if self.settings.ordered_flows and packet.request_id in held.accepted:
            outputs.extend(BackendOutput(source, reply) for reply in held.accepted[packet.request_id])
            return
        has_slot = len(self._running) < self.settings.slots
        if not has_slot and len(self._queue) >= self.settings.queue:
            self.counters.shed += 1
            self._reply(BackendReplyKind.REFUSED, packet, source, now, outputs)
            self._store_answer(outputs[-1].reply)
            return
        held.accepted[packet.request_id] = []
        deadline = now + packet.timeout_ms / 1000 if packet.timeout_ms else NEVER
        self._queue.append(_AcceptedRequest(packet, source, deadline))
        self._start_queued(now, outputs)

    def _start_queued(self, now: float, outputs: list[BackendOutput]) -> None:
        while self._queue and len(self._running) < self.settings.slots:
            request = self._queue.popleft()
            if request.deadline < now:
                self.counters.deadline_passed += 1
                self._reply(BackendReplyKind.REFUSED, request.packet, request.source, now, outputs)
                continue
            self._start(request, now)

    def _start(self, request: _AcceptedRequest, now: float) -> None:
        self.counters.executed += 1
        number = self.counters.executed
        packet = request.packet
        held = self._flows.get(packet.flow)
        if held is not None:
            held.started.add(packet.request_id)
        self.executions.append(
            Execution(
                backend=self.identity.name,
                number=number,
                flow=packet.flow,
                request_id=packet.request_id,
                attempt=packet.attempt,
                payload=packet.payload,
                started_at=now,
            )
        )
        heapq.heappush(self._running, (now + self._service_time(now), number, request))

    def _service_time(self, now: float) -> float:
        settings = self.settings
        spread = settings.service_s * settings.service_spread
        duration = settings.service_s + self._random.uniform(-spread, spread)
        age = now - (self._started_at if self._started_at is not None else now)
        if age >= settings.cold_s:
            return duration
        coldness = 1 - age / settings.cold_s
        return duration * (1 + (settings.cold_factor - 1) * coldness)

    def _answer(
        self, request: _AcceptedRequest, number: int, now: float, outputs: list[BackendOutput]
    ) -> None:
        packet = request.packet
        load = self._load_report(now)
        for reply in answer_parts(self.identity, packet, number, self.settings.part_bytes, load):
            outputs.append(BackendOutput(request.source, reply))
            self._store_answer(reply)
        if packet.payload == FEED_PAYLOAD and packet.flow in self._flows:
            self._feeds.subscribe(packet.flow, packet.request_id, now + self.settings.push_interval_s)

    def _store_answer(self, reply: BackendReply) -> None:
        held = self._flows.get(reply.flow)
        if self.settings.ordered_flows and held is not None:
            held.accepted.setdefault(reply.request_id, []).append(reply)

    def _push_due(self, now: float, outputs: list[BackendOutput]) -> None:
        for item in self._feeds.pop_due(now, self.settings.push_interval_s):
            self.counters.pushes += 1
            held = self._flows[item.flow]
            reply = pushed_item(self.identity, item, held.token, self._load_report(now))
            outputs.append(BackendOutput(held.address, reply))

    def _cancel(self, packet: BackendPacket, source: str, now: float, outputs: list[BackendOutput]) -> None:
        kept = [item for item in self._queue if not _is_same_request(item.packet, packet)]
        if len(kept) == len(self._queue):
            return
        self.counters.cancelled += len(self._queue) - len(kept)
        self._queue = collections.deque(kept)
        if packet.request_id in self._flows[packet.flow].started:
            return
        self._reply(BackendReplyKind.CANCELLED, packet, source, now, outputs)

    def _reply(
        self,
        kind: BackendReplyKind,
        packet: BackendPacket,
        destination: str,
        now: float,
        outputs: list[BackendOutput],
        payload: bytes = b"",
    ) -> None:
        reply = BackendReply(
            kind=kind,
            flow=packet.flow,
            request_id=packet.request_id,
            attempt=packet.attempt,
            payload=payload,
            load=self._load_report(now),
            token=packet.token,
        )
        outputs.append(BackendOutput(destination, reply))

    def _load_report(self, now: float) -> LoadReport:
        if now - self._load_sampled_at >= self.settings.load_lag_s:
            factor = self.settings.load_factor
            self._load = LoadReport(round(self.in_flight * factor), round(self.flows * factor))
            self._load_sampled_at = now
        return self._load


def _is_same_request(one: BackendPacket, other: BackendPacket) -> bool:
    return one.request_id == other.request_id and one.flow == other.flow

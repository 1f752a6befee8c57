"""The callers: generates flows, runs the stand-in caller model for each and reports to the checkers.

Owns all flows of a run and their timers.  Relies on the stand-in model for the behaviour of a caller
and on the checkers to verify what it received.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Sequence

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.packets import CallerPacket, CallerPacketKind, CallerReply, FlowKey
from sloepond.lab.checkers.flows import FlowChecker, ServiceTimes
from sloepond.lab.checkers.requests import RequestChecker
from sloepond.lab.engine import EventQueue
from sloepond.lab.fabric import Fabric
from sloepond.lab.reach import Reachability
from sloepond.lab.scenario import CallerModel, LoadModel
from sloepond.standins.caller_model import CallerFlow
from sloepond.standins.caller_plan import CallerSettings, FlowPlan, RequestPlan
from sloepond.standins.caller_record import FlowState, RequestOutcome
from sloepond.standins.content import FEED_PAYLOAD, download_payload

LATE_REPLY_CHECK_S = 13.0
"""Seconds after the end of a flow during which its replies are still checked: more than the
timeout of a caller, 12 s."""
REQUEST_PAYLOAD = b"request"
"""Payload of a session's request; a back end generates the content of the answer."""
MAXIMUM_SERVABLE_TIMES = 12
"""Number of the latest send times kept for each caller, for the flow checker: more packets than a
caller without replies sends within its timeout."""
CANCEL_DELAY_S = 0.02
"""Delay from a request to its cancellation, seconds: less than the service time of `long-requests`, 0.3 s."""
PART_BYTES = 1_000
"""Payload bytes of one part of a download's answer."""


class ServiceTarget(msgspec.Struct, frozen=True, eq=False):
    """Name and address of a service, and the fabrics through which callers reach it.

    :ivar fabrics: each flow uses one of them, selected at random.
    """

    name: str
    address: str
    fabrics: Sequence[Fabric]


class _Caller(msgspec.Struct, eq=False):
    """One flow, its fabric and what was reported of it to the checkers.

    :ivar timer_at: simulated time of the scheduled timer; `NEVER` for none.
    :ivar established: whether the flow was reported to the flow checker as open.
    :ivar last_reply_at: simulated time of the latest reply.
    :ivar servable_at: simulated times of the latest packets that a balancer could serve.
    :ivar ended_requests: number of requests whose outcome was reported to the request checker.
    """

    flow: CallerFlow
    fabric: Fabric
    timer_at: float = NEVER
    established: bool = False
    finished: bool = False
    last_reply_at: float = -NEVER
    servable_at: collections.deque[float] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=MAXIMUM_SERVABLE_TIMES)
    )
    ended_requests: int = 0


class _Arrivals(msgspec.Struct, eq=False):
    """Flows of one load that have not arrived yet.

    :ivar times: simulated arrival times in descending order, so that the next one is last.
    """

    load: LoadModel
    target: ServiceTarget
    times: list[float]
    random: random.Random
    settings: CallerSettings


class CallerPopulation:
    """All callers of one run.

    :ivar started: flows started so far.
    """

    def __init__(
        self,
        queue: EventQueue,
        model: CallerModel,
        flow_checker: FlowChecker,
        request_checker: RequestChecker,
        reachability: Reachability,
    ) -> None:
        self._queue = queue
        self._reachability = reachability
        self._model = model
        self._flow_checker = flow_checker
        self._request_checker = request_checker
        self._callers: dict[FlowKey, _Caller] = {}
        self.started = 0

    # Arrivals

    def add_load(
        self, load: LoadModel, target: ServiceTarget, start: float, random_source: random.Random
    ) -> None:
        """Schedule the arrivals of the flows of `load`, from `start` on in simulated seconds."""
        first = start + load.start_s
        times = sorted(
            (first + random_source.random() * load.over_s for _ in range(load.flows)), reverse=True
        )
        arrivals = _Arrivals(load, target, times, random_source, self._settings(load))
        if times:
            self._queue.schedule(times[-1], self._start_next_flow, arrivals)

    def _settings(self, load: LoadModel) -> CallerSettings:
        model = self._model
        return CallerSettings(
            retransmit_s=model.retransmit_s,
            retransmit_maximum_s=model.retransmit_maximum_s,
            patience_s=model.patience_s,
            keepalive_s=load.keepalive_s,
            feed_keepalive_s=load.feed_keepalive_s,
            feed_patience_s=model.patience_s,
        )

    def _start_next_flow(self, arrivals: _Arrivals) -> None:
        arrivals.times.pop()
        if arrivals.times:
            self._queue.schedule(arrivals.times[-1], self._start_next_flow, arrivals)
        random_source = arrivals.random
        target = arrivals.target
        self.started += 1
        flow_key = FlowKey(target.address, self._next_address(), random_source.getrandbits(48))
        plan = plan_flow(arrivals.load, self._model, random_source)
        flow = CallerFlow(flow_key, target.name, plan, arrivals.settings)
        caller = _Caller(flow, random_source.choice(target.fabrics))
        self._callers[flow_key] = caller
        self._handle_flow_output(caller, flow.start(self._queue.now))

    def _next_address(self) -> str:
        """Return the address of the caller started last; later flows reuse addresses."""
        number = self.started % 60_000
        return f"10.200.{number // 250}.{number % 250 + 1}:{20_000 + number % 7}"

    # Replies and timers

    def receive(self, reply: CallerReply) -> None:
        """Handle one reply from a balancer."""
        caller = self._callers.get(reply.flow)
        if caller is None:
            return
        caller.last_reply_at = self._queue.now
        flow = caller.flow
        answers_before = flow.record.answered_after_refusal
        packets = flow.handle(reply, self._queue.now)
        if flow.record.answered_after_refusal != answers_before:
            self._request_checker.answered_after_refusal(flow.record, reply, self._queue.now)
        if not caller.finished:
            self._handle_flow_output(caller, packets, reply)

    def _on_timer(self, caller: _Caller) -> None:
        now = self._queue.now
        if caller.finished or caller.timer_at > now:
            return
        caller.timer_at = NEVER
        self._handle_flow_output(caller, caller.flow.on_timer(now))

    def _handle_flow_output(
        self, caller: _Caller, packets: list[CallerPacket], reply: CallerReply | None = None
    ) -> None:
        """Send the packets, report changes to the checkers and schedule the next timer."""
        flow = caller.flow
        record = flow.record
        if not caller.established and record.state is not FlowState.OPENING:
            self._report_opening(caller)
        if caller.ended_requests < len(record.requests):
            self._report_ended_requests(caller, reply)
        for packet in packets:
            if packet.kind is CallerPacketKind.REQUEST and packet.attempt == 0:
                self._request_checker.request_sent(packet.flow, packet.request_id, packet.repeatable)
            host = caller.fabric.spray(packet)
            if host is not None and self._reachability.can_serve(host, record.backend):
                caller.servable_at.append(self._queue.now)
        deadline = flow.next_deadline()
        if deadline < caller.timer_at:
            caller.timer_at = deadline
            self._queue.schedule(deadline, self._on_timer, caller)
        elif flow.is_finished:
            self._finish(caller)

    def _report_opening(self, caller: _Caller) -> None:
        record = caller.flow.record
        if record.opened_at:
            caller.established = True
            self._flow_checker.flow_established(record.flow, record.backend, self._queue.now)
        elif record.state is FlowState.REFUSED:
            self._request_checker.flow_refused(record, self._queue.now)

    def _report_ended_requests(self, caller: _Caller, reply: CallerReply | None) -> None:
        record = caller.flow.record
        now = self._queue.now
        while caller.ended_requests < len(record.requests):
            request = record.requests[caller.ended_requests]
            if request.outcome is RequestOutcome.PENDING:
                return
            caller.ended_requests += 1
            if request.outcome in (RequestOutcome.UNKNOWN, RequestOutcome.SILENT):
                self._request_checker.request_unknown(record, request, now)
            elif reply is not None and request.outcome is not RequestOutcome.ANSWERED:
                self._request_checker.request_ended(record, request, reply, now)

    def _finish(self, caller: _Caller) -> None:
        if caller.finished:
            return
        caller.finished = True
        service_times = ServiceTimes(caller.last_reply_at, tuple(caller.servable_at))
        self._flow_checker.flow_ended(caller.flow.record, service_times, self._queue.now)
        self._queue.schedule(self._queue.now + LATE_REPLY_CHECK_S, self._remove, caller)

    def _remove(self, caller: _Caller) -> None:
        self._callers.pop(caller.flow.record.flow, None)


def plan_flow(load: LoadModel, model: CallerModel, random_source: random.Random) -> FlowPlan:
    """Return a random plan for one flow of `load`: its requests and how long it stays open."""
    if load.kind == "download":
        size = max(1, load.parts * PART_BYTES - PART_BYTES // 2)
        return FlowPlan((RequestPlan(download_payload(size), repeatable=True),), 0.0)
    duration = random_source.expovariate(1.0 / load.duration_s) if load.duration_s > 0 else 0.0
    if load.kind == "feed":
        return FlowPlan((RequestPlan(FEED_PAYLOAD, repeatable=True),), duration)
    count = max(1, round(random_source.uniform(0.5, 1.5) * load.requests)) if load.requests >= 1 else 1
    pause = duration / (count + 1)
    requests = tuple(_session_request(load, model, random_source, pause) for _ in range(count))
    return FlowPlan(requests, pause)


def _session_request(
    load: LoadModel, model: CallerModel, random_source: random.Random, pause_s: float
) -> RequestPlan:
    cancelled = model.cancel > 0 and random_source.random() < model.cancel
    return RequestPlan(
        payload=REQUEST_PAYLOAD,
        repeatable=random_source.random() >= load.not_repeatable,
        pause_s=pause_s,
        cancel_after_s=CANCEL_DELAY_S if cancelled else None,
    )

"""Requests without an outcome, kept answers, and telling callers of outcomes."""

from __future__ import annotations

from collections.abc import Callable

from sloepond.core.commands import SendToCaller
from sloepond.core.packets import CallerPacket, CallerReply, FlowKey, Reason
from sloepond.core.requests import outcomes
from sloepond.core.requests.answer_cache import AnswerCache
from sloepond.core.requests.pending import PendingRequest
from sloepond.core.routing.state import RoutingState

RequestStep = Callable[[PendingRequest], None]


class RequestStore:
    """What one balancer is responsible for, and what it has answered lately."""

    __slots__ = ("_answers", "_by_service", "_pending", "_state")

    def __init__(self, state: RoutingState) -> None:
        settings = state.settings.requests
        self._state = state
        self._pending: dict[tuple[FlowKey, int], PendingRequest] = {}
        self._answers = AnswerCache(settings.answer_cache_bytes, settings.answer_cache_s)
        self._by_service: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def retry_after_ms(self) -> int:
        """Time after which callers are asked to come back, in milliseconds."""
        return self._state.settings.requests.retry_after_ms

    def get(self, key: FlowKey, request_id: int) -> PendingRequest | None:
        """Return the pending request of an id, None if there is none."""
        return self._pending.get((key, request_id))

    def kept_answer(self, key: FlowKey, request_id: int) -> list[CallerReply] | None:
        """Return the whole answer of a request answered lately."""
        return self._answers.get((key, request_id), self._state.context.now)

    def count_of(self, service_address: str) -> int:
        """Return the number of pending requests of a service."""
        return self._by_service.get(service_address, 0)

    def is_current(self, pending: PendingRequest) -> bool:
        """Return whether a request is still without an outcome."""
        return self._pending.get(pending.key) is pending

    def add(self, pending: PendingRequest) -> None:
        """Take responsibility for a request."""
        address = pending.packet.flow.service_address
        self._pending[pending.key] = pending
        self._by_service[address] = self._by_service.get(address, 0) + 1

    def conclude_answered(self, pending: PendingRequest, run: int) -> None:
        """End a request whose answer in `run` is whole; keep it for repeats.

        Answers of one part to repeatable requests are not kept: running the
        request again costs less than keeping them all.
        """
        self._state.context.counters.requests_answered += 1
        parts = pending.runs[run]
        if not pending.repeatable or len(parts) > 1:
            replies = [outcomes.answered(part) for part in parts.values()]
            self._answers.add(pending.key, replies, self._state.context.now)
        self._remove(pending)

    def conclude_not_run(self, pending: PendingRequest, reason: Reason) -> None:
        """End a request that was not run and whose id nobody else can use."""
        if not self.is_current(pending):
            return
        self._state.context.counters.requests_refused += 1
        reply = outcomes.not_run(pending.packet, reason, self.retry_after_ms)
        self._answers.add(pending.key, [reply], self._state.context.now)
        self._remove(pending)
        self.reply(reply)

    def conclude_unknown(self, pending: PendingRequest, reason: Reason, retry_after_ms: int) -> None:
        """End a request whose outcome is not known here.

        :param retry_after_ms: `outcomes.FINAL`, or when the caller may ask again.
        """
        if self.is_current(pending):
            self._remove(pending)
            self.say_unknown(pending.packet, reason, retry_after_ms)

    def say_unknown(self, packet: CallerPacket, reason: Reason, retry_after_ms: int) -> None:
        """Tell a caller that the outcome of its request is not known here."""
        self._state.context.counters.requests_unknown += 1
        self.reply(outcomes.unknown(packet, reason, retry_after_ms))

    def reply(self, reply: CallerReply) -> None:
        """Send a packet to the caller of its flow."""
        self._state.context.emit(SendToCaller(reply))

    def _remove(self, pending: PendingRequest) -> None:
        del self._pending[pending.key]
        self._by_service[pending.packet.flow.service_address] -= 1
        if pending.hand_overs:
            self._state.local_load.request_removed(pending.flow.backend)

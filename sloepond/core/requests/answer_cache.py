"""Answers kept for a while, so that a repeated packet gets the whole answer again."""

from __future__ import annotations

from collections import OrderedDict

from sloepond.core.packets import CallerReply, FlowKey

RequestKey = tuple[FlowKey, int]
"""Flow and request id."""

_REPLY_OVERHEAD_BYTES = 100


class _CachedAnswer:
    __slots__ = ("byte_count", "expires_at", "replies")

    def __init__(self, replies: list[CallerReply], expires_at: float, byte_count: int) -> None:
        self.replies = replies
        self.expires_at = expires_at
        self.byte_count = byte_count


class AnswerCache:
    """Bounded by bytes and by age; the oldest answers go first."""

    __slots__ = ("_answers", "_byte_count", "_lifetime_s", "_maximum_bytes")

    def __init__(self, maximum_bytes: int, lifetime_s: float) -> None:
        self._maximum_bytes = maximum_bytes
        self._lifetime_s = lifetime_s
        self._answers: OrderedDict[RequestKey, _CachedAnswer] = OrderedDict()
        self._byte_count = 0

    def add(self, key: RequestKey, replies: list[CallerReply], now: float) -> None:
        """Keep the whole answer of a request; `now` in seconds."""
        byte_count = sum(len(reply.payload) + _REPLY_OVERHEAD_BYTES for reply in replies)
        self._discard(key)
        self._answers[key] = _CachedAnswer(replies, now + self._lifetime_s, byte_count)
        self._byte_count += byte_count
        self._trim(now)

    def get(self, key: RequestKey, now: float) -> list[CallerReply] | None:
        """Return the replies of a request, or None where they are not kept."""
        answer = self._answers.get(key)
        if answer is None or answer.expires_at < now:
            return None
        return answer.replies

    def _trim(self, now: float) -> None:
        while self._answers:
            key, oldest = next(iter(self._answers.items()))
            if self._byte_count <= self._maximum_bytes and oldest.expires_at >= now:
                return
            self._discard(key)

    def _discard(self, key: RequestKey) -> None:
        answer = self._answers.pop(key, None)
        if answer is not None:
            self._byte_count -= answer.byte_count

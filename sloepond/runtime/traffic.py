"""Bytes exchanged with peers, by class of message.

The envelope of a datagram that carries several messages counts with the first.
"""

from __future__ import annotations

import collections
import enum

import msgspec

from sloepond.core.messages import DATA_MESSAGES, TRANSFER_MESSAGES, PeerMessage

RATE_WINDOW_S = 10.0
"""Time over which rates are averaged, in seconds."""

SAMPLE_INTERVAL_S = 1.0
"""Time between samples of the totals, in seconds."""


class TrafficClass(enum.Enum):
    """Why a message is sent."""

    CONTROL = "control"
    DATA = "data"
    TRANSFER = "transfer"


class TrafficTotal(msgspec.Struct):
    """Datagrams, and bytes of UDP payload with envelopes.

    :ivar datagrams: datagrams sent and received whose first message is of the class.
    """

    datagrams: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class TrafficRate(msgspec.Struct, frozen=True):
    """Bytes of UDP payload a second, averaged over the last seconds."""

    traffic_class: TrafficClass
    sent_bytes_per_second: float
    received_bytes_per_second: float


class _Sample(msgspec.Struct, frozen=True):
    """Totals at one time; the classes in their declared order."""

    at: float
    sent: tuple[int, ...]
    received: tuple[int, ...]


class TrafficMeter:
    """Totals and rates of traffic with peers.

    :ivar totals: totals since the start, by class.
    """

    def __init__(self) -> None:
        self.totals = {item: TrafficTotal() for item in TrafficClass}
        self._samples: collections.deque[_Sample] = collections.deque()
        self._control = self.totals[TrafficClass.CONTROL]
        self._total_by_type: dict[type, TrafficTotal] = {
            **dict.fromkeys(DATA_MESSAGES, self.totals[TrafficClass.DATA]),
            **dict.fromkeys(TRANSFER_MESSAGES, self.totals[TrafficClass.TRANSFER]),
        }

    def total_of(self, message: PeerMessage) -> TrafficTotal:
        """Return the totals of the class of a message; what is not listed is control."""
        return self._total_by_type.get(type(message), self._control)

    def sample(self, now: float) -> None:
        """Note the totals at `now`, once in each sample interval; called often."""
        if self._samples and now - self._samples[-1].at < SAMPLE_INTERVAL_S:
            return
        self._samples.append(self._take_sample(now))
        while now - self._samples[0].at > RATE_WINDOW_S:
            self._samples.popleft()

    def rates(self, now: float) -> tuple[TrafficRate, ...]:
        """Return the rates since the oldest sample of the last seconds."""
        newest = self._take_sample(now)
        oldest = self._samples[0] if self._samples else newest
        elapsed = max(newest.at - oldest.at, SAMPLE_INTERVAL_S)
        return tuple(
            TrafficRate(
                traffic_class=item,
                sent_bytes_per_second=(newest.sent[index] - oldest.sent[index]) / elapsed,
                received_bytes_per_second=(newest.received[index] - oldest.received[index]) / elapsed,
            )
            for index, item in enumerate(TrafficClass)
        )

    def _take_sample(self, now: float) -> _Sample:
        totals = tuple(self.totals[item] for item in TrafficClass)
        return _Sample(
            at=now,
            sent=tuple(total.sent_bytes for total in totals),
            received=tuple(total.received_bytes for total in totals),
        )

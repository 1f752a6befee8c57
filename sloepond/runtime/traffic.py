"""Counts and rates of the bytes exchanged with other balancers.

Owns the totals since the start and the samples from which rates are computed.  Relies on the receiver
and the outbox to add to `TrafficMeter.control`.
"""

from __future__ import annotations

import collections
import enum

import msgspec

RATE_WINDOW_S = 10.0
"""Window over which rates are averaged, in seconds."""

SAMPLE_INTERVAL_S = 1.0
"""Interval between samples of the totals, in seconds."""


class TrafficClass(enum.Enum):
    """Purpose of a message.

    Balancers exchange only the configuration, which is `control`.  `data` and `transfer` are always 0
    and are still exported for dashboards and commands that name them.
    """

    CONTROL = "control"
    DATA = "data"
    TRANSFER = "transfer"


class TrafficTotal(msgspec.Struct):
    """Datagrams sent and received, and bytes of UDP payload including envelopes.

    :ivar datagrams: datagrams sent and received.
    """

    datagrams: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class TrafficRate(msgspec.Struct, frozen=True):
    """Bytes of UDP payload per second, averaged over at most `RATE_WINDOW_S`."""

    traffic_class: TrafficClass
    sent_bytes_per_second: float
    received_bytes_per_second: float


class _Sample(msgspec.Struct, frozen=True):
    """Totals at one time, with the classes in their declared order."""

    at: float
    sent: tuple[int, ...]
    received: tuple[int, ...]


class TrafficMeter:
    """Totals and rates of traffic with peers.

    :ivar totals: totals since the start, by class.
    :ivar control: the totals to which all messages are added.
    """

    def __init__(self) -> None:
        self.totals = {item: TrafficTotal() for item in TrafficClass}
        self._samples: collections.deque[_Sample] = collections.deque()
        self.control = self.totals[TrafficClass.CONTROL]

    def sample(self, now: float) -> None:
        """Record the totals at `now`, at most once per sample interval."""
        if self._samples and now - self._samples[-1].at < SAMPLE_INTERVAL_S:
            return
        self._samples.append(self._current_sample(now))
        while now - self._samples[0].at > RATE_WINDOW_S:
            self._samples.popleft()

    def rates(self, now: float) -> tuple[TrafficRate, ...]:
        """Return the rates since the oldest sample in the window."""
        newest = self._current_sample(now)
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

    def _current_sample(self, now: float) -> _Sample:
        totals = tuple(self.totals[item] for item in TrafficClass)
        return _Sample(
            at=now,
            sent=tuple(total.sent_bytes for total in totals),
            received=tuple(total.received_bytes for total in totals),
        )

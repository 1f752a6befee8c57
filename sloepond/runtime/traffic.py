"""Bytes exchanged with other balancers.

Owns the totals since the start and the samples that rates are made from.  Relies on the
receiver and the outbox to add to `TrafficMeter.control`.
"""

from __future__ import annotations

import collections
import enum

import msgspec

RATE_WINDOW_S = 10.0
"""Time over which rates are averaged, in seconds."""

SAMPLE_INTERVAL_S = 1.0
"""Time between samples of the totals, in seconds."""


class TrafficClass(enum.Enum):
    """Why a message is sent.

    Balancers exchange the configuration alone, which is control; `data` and `transfer` stay
    0 and stay exported for dashboards and commands that name them.
    """

    CONTROL = "control"
    DATA = "data"
    TRANSFER = "transfer"


class TrafficTotal(msgspec.Struct):
    """Datagrams, and bytes of UDP payload with envelopes.

    :ivar datagrams: datagrams sent and received.
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
    :ivar control: the totals that all messages count in.
    """

    def __init__(self) -> None:
        self.totals = {item: TrafficTotal() for item in TrafficClass}
        self._samples: collections.deque[_Sample] = collections.deque()
        self.control = self.totals[TrafficClass.CONTROL]

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

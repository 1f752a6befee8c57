"""Control traffic: bytes that balancers send to each other, per balancer and second.

Owns the totals of one run.  Relies on the balancer machines to count the bytes they send.
"""

from __future__ import annotations


class TrafficMeter:
    """Collects the control bytes sent per second.

    :ivar control_maximum: maximum control bytes that one balancer sent in one second.
    :ivar control_by_second: mean over the balancers, for each second.
    """

    def __init__(self) -> None:
        self.control_maximum = 0
        self.control_by_second: list[float] = []
        self._control_bytes = 0
        self._balancer_seconds = 0

    def add_second(self, sent: list[int]) -> None:
        """Add the bytes that each running balancer sent in the past second."""
        if not sent:
            return
        total = sum(sent)
        self._control_bytes += total
        self._balancer_seconds += len(sent)
        self.control_by_second.append(total / len(sent))
        self.control_maximum = max(self.control_maximum, *sent)

    @property
    def control_mean(self) -> float:
        """Mean control bytes per second and balancer."""
        return self._control_bytes / self._balancer_seconds if self._balancer_seconds else 0.0

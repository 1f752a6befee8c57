"""Bytes between balancers, by class, for each balancer and second."""

from __future__ import annotations


class TrafficMeter:
    """Collects bytes sent per second.

    :ivar control_maximum: most control bytes one balancer sent in one second.
    :ivar control_by_second: mean over the balancers, for each second.
    """

    def __init__(self) -> None:
        self.control_maximum = 0
        self.transfer_maximum = 0
        self.control_by_second: list[float] = []
        self.data_bytes = 0
        self._control_bytes = 0
        self._balancer_seconds = 0

    def second_ended(self, control: list[int], transfer: list[int], data: int) -> None:
        """Add the bytes each running balancer sent in the past second.

        :param data: bytes of all balancers sent because of callers' packets.
        """
        self.data_bytes += data
        if not control:
            return
        total = sum(control)
        self._control_bytes += total
        self._balancer_seconds += len(control)
        self.control_by_second.append(total / len(control))
        self.control_maximum = max(self.control_maximum, *control)
        self.transfer_maximum = max(self.transfer_maximum, *transfer)

    @property
    def control_mean(self) -> float:
        """Control bytes per second and balancer."""
        return self._control_bytes / self._balancer_seconds if self._balancer_seconds else 0.0

"""What `sloepond lab bench` measures."""

from __future__ import annotations

import msgspec


class PathFigure(msgspec.Struct, frozen=True):
    """Cost of one path of the data plane.

    :ivar items: packets or flows handled.
    :ivar processor_s: processor time they took, in seconds.
    """

    name: str
    items: int
    processor_s: float

    @property
    def per_second(self) -> float:
        """Items handled per second of processor time, on one core."""
        return self.items / self.processor_s if self.processor_s else 0.0


class MemoryFigure(msgspec.Struct, frozen=True):
    """Memory of open flows.

    :ivar flows: flows opened.
    :ivar resident_before: resident bytes of the process before.
    :ivar resident_after: resident bytes of the process with the flows open.
    """

    flows: int
    resident_before: int
    resident_after: int

    @property
    def bytes_per_flow(self) -> float:
        """Growth of resident memory for each open flow."""
        return (self.resident_after - self.resident_before) / self.flows


class ControlFigure(msgspec.Struct, frozen=True):
    """Cost of control of one idle balancer.

    :ivar members: balancers of its cell.
    :ivar backends: back ends declared.
    :ivar duration_s: seconds measured.
    :ivar processor_s: processor time its thread used meanwhile.
    :ivar sent_bytes: bytes of UDP payload sent to peers, envelopes included.
    """

    members: int
    backends: int
    duration_s: float
    processor_s: float
    sent_bytes: int

    @property
    def processor_share(self) -> float:
        """Share of one core."""
        return self.processor_s / self.duration_s

    @property
    def bytes_per_second(self) -> float:
        """Bytes a second sent to peers."""
        return self.sent_bytes / self.duration_s


class BenchReport(msgspec.Struct, frozen=True):
    """All figures of one run, side by side.

    Rates are per second of processor time on one core.  `established_ratio`
    compares packets of established flows with the bare loop.
    """

    bare_packets_per_second: float
    keepalive_packets_per_second: float
    request_packets_per_second: float
    single_request_packets_per_second: float
    established_ratio: float
    keepalive_ratio: float
    new_flows_per_second: float
    new_flows_per_second_in_cell_of_three: float
    flows: int
    bytes_per_flow: float
    resident_megabytes_before: float
    resident_megabytes_after: float
    control_members: int
    control_processor_share: float
    control_bytes_per_second: float

"""What `sloepond lab bench` measures."""

from __future__ import annotations

import msgspec


class PathFigure(msgspec.Struct, frozen=True):
    """Cost of one path of the data plane, and of the bare loop run beside it.

    :ivar items: packets or flows handled.
    :ivar processor_s: processor time they took, in seconds.
    :ivar bare_packets: packets the bare loop handled meanwhile.
    :ivar bare_processor_s: processor time those took, in seconds.
    """

    items: int
    processor_s: float
    bare_packets: int
    bare_processor_s: float

    @property
    def per_second(self) -> int:
        """Items handled per second of processor time, on one core."""
        return round(self.items / self.processor_s)

    @property
    def bare_per_second(self) -> int:
        """Packets the bare loop handled per second of processor time."""
        return round(self.bare_packets / self.bare_processor_s)

    @property
    def ratio(self) -> float:
        """Items per second over packets per second of the bare loop."""
        return round(self.per_second / self.bare_per_second, 3)


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

    :ivar members: balancers started.
    :ivar members_in_view: balancers that formed the cell.
    :ivar backends: back ends declared.
    :ivar duration_s: seconds measured.
    :ivar processor_s: processor time its thread used meanwhile.
    :ivar sent_bytes: bytes of UDP payload sent to peers, envelopes included.
    """

    members: int
    members_in_view: int
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
    """All figures of one run.

    Rates are per second of processor time of one core.  Packets count on their
    way in: a request and its answer are two.  The ratios compare with the bare
    loop: wait, read up to 64 datagrams, decode, encode, send.  Figures of a cell
    of three divide by the processor time of all three balancers.  Control is one
    idle balancer on sockets; its bytes are UDP payload sent to peers.
    """

    bare_packets_per_second: int
    keepalive_packets_per_second: int
    keepalive_ratio: float
    request_packets_per_second: int
    request_ratio: float
    single_request_packets_per_second: int
    single_request_ratio: float
    new_flows_per_second: int
    cell_of_three_keepalive_packets_per_second: int
    cell_of_three_request_packets_per_second: int
    cell_of_three_single_request_packets_per_second: int
    cell_of_three_new_flows_per_second: int
    flows: int
    bytes_per_flow: int
    resident_megabytes_before: float
    resident_megabytes_with_flows: float
    control_members: int
    control_backends: int
    control_processor_share: float
    control_bytes_per_second: int

"""Processor time of packets in the core, and bytes between balancers because of them."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import msgspec

from sloepond.core.events import CallerPacketReceived
from sloepond.core.packets import CallerPacket, CallerPacketKind, CallerReplyKind, FlowKey
from sloepond.lab.capacity.fit import Point
from sloepond.lab.capacity.flow_samples import sample_keys
from sloepond.lab.capacity.hollow_fleet import FleetPlan, HollowFleet
from sloepond.lab.capacity.hollow_node import Usage
from sloepond.lab.capacity.plan import CapacityPlan
from sloepond.lab.capacity.series import Role, Series

TARGETS = 40
RATE_PER_S = 2_000.0
"""Packets a second sent into the cell."""
ANSWERING_S = 2.0
PAYLOAD = bytes(64)


class PacketPath(msgspec.Struct, frozen=True):
    """One kind of packet.

    :ivar reply: what the caller is told.
    """

    name: str
    kind: CallerPacketKind
    reply: CallerReplyKind
    repeatable: bool | None = None


PATHS = (
    PacketPath("new flow", CallerPacketKind.OPEN, CallerReplyKind.OPENED),
    PacketPath("keepalive and its answer", CallerPacketKind.KEEPALIVE, CallerReplyKind.ALIVE),
    PacketPath("repeatable request and its answer", CallerPacketKind.REQUEST, CallerReplyKind.ANSWER, True),
    PacketPath(
        "non-repeatable request and its answer", CallerPacketKind.REQUEST, CallerReplyKind.ANSWER, False
    ),
)


def processor_name(path: PacketPath) -> str:
    """Return the name of the series of processor time."""
    return f"{path.name}: processor time of all balancers"


def bytes_name(path: PacketPath) -> str:
    """Return the name of the series of bytes."""
    return f"{path.name}: bytes between balancers"


class PacketsUnansweredError(Exception):
    """Packets of a measure were lost, though nothing loses them."""


def data_path_series(plan: CapacityPlan) -> tuple[Series, ...]:
    """Return costs of each kind of packet by packets sent into a cell of 10."""
    points: dict[str, list[Point]] = {}
    for packets in plan.packets:
        fleet = HollowFleet(FleetPlan(1, plan.cell, TARGETS))
        fleet.form()
        idle = fleet.measure(ANSWERING_S)
        keys = list(itertools.islice(sample_keys(), packets))
        for number, path in enumerate(PATHS):
            used = _send(fleet, path, keys, request_id=number)
            seconds = packets / RATE_PER_S + ANSWERING_S
            processor_s = used.processor_s - idle.processor_s * seconds / ANSWERING_S
            points.setdefault(processor_name(path), []).append(Point(packets, processor_s * 1e3))
            points.setdefault(bytes_name(path), []).append(Point(packets, used.data_bytes / 1e3))
    units: dict[bool, str] = {True: "kB", False: "ms"}
    return tuple(
        Series(
            Role.DATA_PATH,
            name,
            units[name.endswith("bytes between balancers")],
            "packets",
            tuple(values),
            None,
        )
        for name, values in points.items()
    )


def _send(fleet: HollowFleet, path: PacketPath, keys: list[FlowKey], request_id: int) -> Usage:
    addresses = itertools.cycle(list(fleet.nodes))
    make = _maker(path, request_id)
    for number, (key, address) in enumerate(zip(keys, addresses, strict=False)):
        fleet.schedule(number / RATE_PER_S, address, CallerPacketReceived(make(key)))
    replies_before = fleet.replies[path.reply]
    used = fleet.measure(len(keys) / RATE_PER_S + ANSWERING_S)
    answered = fleet.replies[path.reply] - replies_before
    if answered != len(keys):
        raise PacketsUnansweredError(f"{path.name}: {answered} of {len(keys)} answered")
    return used


def _maker(path: PacketPath, request_id: int) -> Callable[[FlowKey], CallerPacket]:
    number = request_id if path.kind is CallerPacketKind.REQUEST else 0

    def make(key: FlowKey) -> CallerPacket:
        return CallerPacket(path.kind, key, request_id=number, repeatable=path.repeatable, payload=PAYLOAD)

    return make

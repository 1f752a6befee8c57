"""Processor time and bytes of probing back ends."""

from __future__ import annotations

import random
import time

from sloepond.core.commands import ProbeBackend, SendToBackend
from sloepond.core.context import NodeContext
from sloepond.core.health.monitor import HealthMonitor
from sloepond.core.messages import Member, View
from sloepond.core.packets import BackendReply, BackendReplyKind, LoadReport
from sloepond.core.settings import HealthSettings
from sloepond.lab.capacity import design
from sloepond.lab.capacity.fit import Point
from sloepond.lab.capacity.plan import CapacityPlan
from sloepond.lab.capacity.series import Role, Series
from sloepond.lab.core_costs import declared_targets
from sloepond.resources.compiled import CompiledConfiguration, make_snapshot
from sloepond.resources.model import Location
from sloepond.runtime.probing import KeepaliveProbeDriver
from sloepond.wire.edge import decode_backend_reply, encode_packet
from sloepond.wire.failures import DecodeFailure

HALL = Location("region", "zone", "hall-0")
LOAD = LoadReport(3, 300)
EXCHANGE_TARGETS = 100

WALK_PROCESSOR = "choosing and judging probes"
PROBES = "probes sent by a balancer of a cell of 10"
EXCHANGE_PROCESSOR = "probes sent, encoded, answered and taken"
EXCHANGE_BYTES = "probe packets sent to back ends"


class CellView:
    """A view of `members` balancers, all reachable; this one is the first."""

    def __init__(self, members: int) -> None:
        self._members = {
            f"balancer-{number}": Member(f"balancer-{number}", 1, f"10.1.0.{number + 1}:1", HALL)
            for number in range(members)
        }
        self.view = View(1, tuple(self._members[name] for name in sorted(self._members)))

    def is_reachable(self, name: str) -> bool:
        """Return whether it is a member."""
        return name in self._members

    def member(self, name: str) -> Member | None:
        """Return a member by name."""
        return self._members.get(name)


class LoneMonitor:
    """A health monitor in a view of 10, with targets declared."""

    def __init__(self, targets: int) -> None:
        view = CellView(design.CELL)
        self.context = NodeContext(view.view.members[0], random.Random(1))
        self.monitor = HealthMonitor(self.context, HealthSettings(), view)
        self.monitor.configuration_changed(CompiledConfiguration(make_snapshot(1, declared_targets(targets))))
        self.context.take_commands()

    def run(self, seconds: float) -> int:
        """Walk for simulated seconds with every probe answered; return the probes."""
        probes = 0
        end = self.context.now + seconds
        while (deadline := self.monitor.next_deadline()) <= end:
            self.context.now = max(deadline, self.context.now)
            self.monitor.on_time()
            for command in self.context.take_commands():
                if isinstance(command, ProbeBackend):
                    probes += 1
                    self.monitor.probed(command.backend, LOAD, True)
        self.context.now = end
        return probes


def probing_series(plan: CapacityPlan) -> tuple[Series, ...]:
    """Return costs of the walk by targets, and of single probes by probes."""
    walk = [_measure_walk(targets, plan.probe_s) for targets in plan.probe_targets]
    exchange = [_measure_exchange(probes) for probes in plan.packets]
    processor, probes = zip(*walk, strict=True)
    exchange_ms, exchange_bytes = zip(*exchange, strict=True)
    role = Role.PROBING
    return (
        Series(role, WALK_PROCESSOR, "ms/s", "targets", processor, design.TARGETS),
        Series(role, PROBES, "1/s", "targets", probes, design.TARGETS),
        Series(role, EXCHANGE_PROCESSOR, "ms", "probes", exchange_ms, None),
        Series(role, EXCHANGE_BYTES, "bytes", "probes", exchange_bytes, None),
    )


def _measure_walk(targets: int, seconds: float) -> tuple[Point, Point]:
    """Return milliseconds a second, and probes a second."""
    lone = LoneMonitor(targets)
    started = time.process_time()
    probes = lone.run(seconds)
    spent = time.process_time() - started
    return Point(targets, spent / seconds * 1e3), Point(targets, probes / seconds)


def _measure_exchange(probes: int) -> tuple[Point, Point]:
    """Return milliseconds for `probes` exchanges, and bytes sent."""
    lone = LoneMonitor(EXCHANGE_TARGETS)
    sent: list[tuple[SendToBackend, bytes]] = []
    driver = KeepaliveProbeDriver(
        "10.1.0.1:7002", 0.5, lambda command: sent.append((command, encode_packet(command.packet)))
    )
    size = 0
    spent = 0.0
    for number in range(probes):
        target = number % EXCHANGE_TARGETS
        command = ProbeBackend(f"target-{target}", f"10.0.0.{target + 1}:8000")
        started = time.process_time()
        driver.start(command, 0.0)
        spent += time.process_time() - started
        packet, encoded = sent.pop()
        size += len(encoded)
        answer = encode_packet(
            BackendReply(BackendReplyKind.ALIVE, packet.packet.flow, packet.packet.request_id, load=LOAD)
        )
        started = time.process_time()
        reply = decode_backend_reply(answer)
        assert not isinstance(reply, DecodeFailure)
        probed = driver.take_reply(packet.address, reply)
        assert probed is not None
        lone.monitor.probed(probed.backend, probed.report, probed.healthy)
        spent += time.process_time() - started
    return Point(probes, spent * 1e3), Point(probes, size)

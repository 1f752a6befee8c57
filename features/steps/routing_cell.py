"""A few routers on a simulated network, for steps: membership is scripted."""

from __future__ import annotations

import random

from sloepond.core.commands import SendToBackend, SendToCaller, SendToPeer
from sloepond.core.context import NodeContext
from sloepond.core.health.load_estimate import UNKNOWN_LOAD
from sloepond.core.messages import Member, View
from sloepond.core.packets import BackendPacket, BackendReply, BackendReplyKind, CallerPacketKind
from sloepond.core.routing.local_load import LocalBackendLoad
from sloepond.core.routing.replication import MemberIdentity
from sloepond.core.routing.router import PacketRouter
from sloepond.core.routing.state import RoutingState
from sloepond.core.settings import NodeSettings, RoutingSettings
from sloepond.resources.compiled import CompiledConfiguration, make_snapshot
from sloepond.resources.model import (
    API_VERSION,
    Backend,
    BackendSpec,
    Hall,
    HallSpec,
    Location,
    Metadata,
    PlaceSelector,
    Region,
    Service,
    ServiceSpec,
    Zone,
    ZoneSpec,
)
from sloepond.wire.edge import decode_backend_packet, encode_packet

SERVICE = "127.0.100.1:7000"
PARTITIONS = 16
STEP_S = 0.01
LEASE_S = 2.2
"""Lease and margin: after a change of view, how long a former primary may act."""


def make_member(name: str) -> Member:
    return Member(name, 1, f"{name}:1", Location("ghana", "accra", f"hall-{name}"))


def make_configuration() -> CompiledConfiguration:
    resources = [
        Region(API_VERSION, Metadata("ghana")),
        Zone(API_VERSION, Metadata("accra"), ZoneSpec("ghana")),
        Hall(API_VERSION, Metadata("hall-a"), HallSpec("accra")),
        Service(
            API_VERSION, Metadata("notes"), ServiceSpec(SERVICE, permitted=(PlaceSelector(zone="accra"),))
        ),
    ]
    for number in range(3):
        spec = BackendSpec("notes", f"127.0.10.{number}:7000", "hall-a")
        resources.append(Backend(API_VERSION, Metadata(f"notes-{number}"), spec))
    return CompiledConfiguration(make_snapshot(1, resources))


class ScriptedMembership:
    def __init__(self, name: str, view: View) -> None:
        self.name = name
        self.first_view = view
        self.view = View(0, ())
        self.previous_views: tuple[View, ...] = ()
        self.view_changed_at = -100.0
        self.lease = True
        self.settled_at = -100.0
        self.unreachable: set[str] = set()
        self.heard_outside: set[str] = set()

    def has_lease(self) -> bool:
        return self.lease

    def was_heard_lately(self, name: str) -> bool:
        return name in self.heard_outside

    def lease_expires_at(self) -> float:
        return float("inf") if self.lease else 0.0

    def member(self, name: str) -> Member | None:
        views = (self.view, *self.previous_views)
        return next((m for view in views for m in view.members if m.name == name), None)

    def is_reachable(self, name: str) -> bool:
        return name == self.name or name not in self.unreachable


class HealthyBackends:
    def is_available(self, _: str) -> bool:
        return True

    def estimate(self, _: str):
        return UNKNOWN_LOAD

    def silence_observed(self, _: str) -> None: ...
    def answer_received(self, *_: object) -> None: ...
    def refusal_received(self, *_: object) -> None: ...


class FixedConfiguration:
    in_force = make_configuration()


class RoutingCell:
    """Routers by name; datagrams wait in `network` until a step delivers them."""

    def __init__(self, names: str = "abc", seed: int = 0) -> None:
        view = View(1, tuple(make_member(name) for name in names))
        self.now = 0.0
        self.random = random.Random(seed)
        self.memberships = {name: ScriptedMembership(name, view) for name in names}
        self.contexts: dict[str, NodeContext] = {}
        self.states: dict[str, RoutingState] = {}
        self.routers: dict[str, PacketRouter] = {}
        self.network: list[tuple[str, str, object]] = []
        self.executed: list[tuple[str, object, int]] = []
        self.held: dict[object, str] = {}
        self.replies: list = []
        self.cut_off: set[str] = set()
        for name in names:
            self._add(name)

    def _add(self, name: str) -> None:
        context = NodeContext(make_member(name), random.Random(1))
        settings = NodeSettings(routing=RoutingSettings(partitions=PARTITIONS))
        state = RoutingState(
            context,
            settings,
            self.memberships[name],
            FixedConfiguration(),
            HealthyBackends(),
            LocalBackendLoad(),
        )
        self.contexts[name] = context
        self.states[name] = state
        self.routers[name] = PacketRouter(state)
        self.change_view(name, self.memberships[name].first_view)
        self.memberships[name].view_changed_at = -100.0
        self.memberships[name].settled_at = -100.0

    def caller_sends(self, name: str, packet) -> None:
        self.contexts[name].now = self.now
        self.routers[name].caller_packet_received(packet)
        self.collect(name)

    def change_view(self, name: str, view: View) -> None:
        membership = self.memberships[name]
        membership.previous_views = tuple(v for v in (membership.view, *membership.previous_views) if v.epoch)
        membership.view = view
        membership.view_changed_at = self.now
        membership.settled_at = self.now + LEASE_S
        self.contexts[name].now = self.now
        self.routers[name].view_changed()
        self.collect(name)

    def partition(self, names: set[str]) -> None:
        """Cut the balancers named off from the other balancers, not from back ends."""
        self.cut_off = names

    def _is_cut(self, source: str, target: str) -> bool:
        is_between_balancers = source in self.routers and target in self.routers
        return is_between_balancers and (source in self.cut_off) != (target in self.cut_off)

    def collect(self, name: str) -> None:
        for command in self.contexts[name].take_commands():
            if isinstance(command, SendToPeer):
                self.network.append((name, command.address.split(":")[0], command.message))
            elif isinstance(command, SendToBackend):
                self.network.append((name, command.address, command.packet))
            elif isinstance(command, SendToCaller):
                self.replies.append(command.reply)

    def deliver(self, index: int, is_lost: bool = False) -> None:
        source, target, message = self.network.pop(index)
        if is_lost or self._is_cut(source, target):
            return
        if target in self.routers:
            self.contexts[target].now = self.now
            address = f"{source}:1"
            self.routers[target].peer_message_received(MemberIdentity(source, 1), address, message)
            self.collect(target)
        elif ":" in target and source in self.routers:
            self._run_backend(target, source, message)
        elif target.startswith("reply>"):
            self.contexts[target[6:]].now = self.now
            self.routers[target[6:]].backend_reply_received(source, message)
            self.collect(target[6:])

    def _run_backend(self, address: str, source: str, packet) -> None:
        packet = decode_backend_packet(encode_packet(packet))
        assert isinstance(packet, BackendPacket), packet
        kind = BackendReplyKind.ALIVE
        if packet.kind is CallerPacketKind.OPEN:
            self.held.setdefault(packet.flow, address)
            kind = BackendReplyKind.OPENED
        elif self.held.get(packet.flow) != address:
            kind = BackendReplyKind.FLOW_UNKNOWN
        elif packet.kind is CallerPacketKind.REQUEST:
            self.executed.append((address, packet.flow, packet.request_id))
            kind = BackendReplyKind.ANSWER
        reply = BackendReply(kind, packet.flow, packet.request_id, packet.attempt, payload=b"done")
        self.network.append((address, f"reply>{source}", reply))

    def run_timers(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for name, state in self.states.items():
                self.contexts[name].now = self.now
                self.routers[name].transfer.on_time()
                state.timers.run_due(self.now)
                self.collect(name)

    def settle(self, seconds: float = 3.0) -> None:
        """Deliver everything in order, running timers, until nothing moves."""
        end = self.now + seconds
        while self.now < end:
            while self.network:
                self.deliver(0)
            self.run_timers(STEP_S)

"""Nodes that break one promise each, to prove that the lab's checkers see it."""

from __future__ import annotations

import msgspec
from lab_stateless_node import StatelessNode

from sloepond.core.commands import Command, SendToCaller, SendToPeer
from sloepond.core.events import BackendReplyReceived, ConfigurationRead, Event
from sloepond.core.messages import ConfigurationOffered
from sloepond.core.packets import (
    BackendReplyKind,
    CallerPacket,
    CallerPacketKind,
    CallerReply,
    CallerReplyKind,
    FlowKey,
    Reason,
)
from sloepond.resources.compiled import CompiledConfiguration

_SHARED_FLOWS: list[FlowKey] = []
"""Flows whose answers `Crossing` swaps."""


class Moving(StatelessNode):
    """Opens every flow at all back ends of the service and sends each request to another one."""

    def _caller_packet(self, packet: CallerPacket) -> list[Command]:
        service = self.configuration.in_force.services_by_address[packet.flow.service_address]
        commands: list[Command] = []
        for index, backend in enumerate(service.eligible_backends):
            self._cache[packet.flow] = backend.address
            is_request = packet.kind is CallerPacketKind.REQUEST
            if not is_request or index == packet.request_id % len(service.eligible_backends):
                commands += super()._caller_packet(packet)
        return commands


class Forgetting(StatelessNode):
    """Draws a back end for each packet."""

    def _choose(self, flow: FlowKey) -> str | None:
        service = self.configuration.in_force.services_by_address[flow.service_address]
        return self._random.choice(service.eligible_backends).address

    def _caller_packet(self, packet: CallerPacket) -> list[Command]:
        self._cache.clear()
        return super()._caller_packet(packet)


class Silent(StatelessNode):
    """Drops all requests."""

    def _caller_packet(self, packet: CallerPacket) -> list[Command]:
        return [] if packet.kind is CallerPacketKind.REQUEST else super()._caller_packet(packet)


class Misrouting(StatelessNode):
    """Sends every packet to a back end of any service."""

    def _choose(self, flow: FlowKey) -> str | None:
        backends = sorted(self.configuration.in_force.backends_by_address)
        return backends[flow.incarnation % len(backends)]


class PlaceIgnoring(StatelessNode):
    """Takes back ends in places that are not permitted."""

    def _choose(self, flow: FlowKey) -> str | None:
        service = self.configuration.in_force.services_by_address[flow.service_address]
        return service.backends[flow.incarnation % len(service.backends)].address


class Crossing(StatelessNode):
    """Gives the answer of one flow to another that waits for the same request id."""

    def handle(self, event: Event, now: float) -> list[Command]:
        """Swap the flows of answers."""
        commands = super().handle(event, now)
        if not isinstance(event, BackendReplyReceived) or event.reply.kind is not BackendReplyKind.ANSWER:
            return commands
        _SHARED_FLOWS.append(event.reply.flow)
        other = _SHARED_FLOWS[-2] if len(_SHARED_FLOWS) > 1 else event.reply.flow
        reply = commands[0].reply  # type: ignore[union-attr]
        return [*commands, SendToCaller(msgspec.structs.replace(reply, flow=other)), *self._cross(reply)]

    def _cross(self, reply: CallerReply) -> list[Command]:
        recent = [flow for flow in self._cache if flow != reply.flow][-5:]
        return [SendToCaller(msgspec.structs.replace(reply, flow=flow)) for flow in recent]


class Cutting(StatelessNode):
    """Leaves out the last part of every answer."""

    def handle(self, event: Event, now: float) -> list[Command]:
        """Cut answers short."""
        commands = super().handle(event, now)
        if isinstance(event, BackendReplyReceived) and event.reply.parts > 1:
            reply = msgspec.structs.replace(commands[0].reply, parts=event.reply.parts - 1)  # type: ignore[union-attr]
            return [SendToCaller(reply)] if event.reply.part < reply.parts else []
        return commands


class Doubling(StatelessNode):
    """Hands every request over twice."""

    def _caller_packet(self, packet: CallerPacket) -> list[Command]:
        commands = super()._caller_packet(packet)
        return commands * 2 if packet.kind is CallerPacketKind.REQUEST else commands


class Denying(StatelessNode):
    """Says of every request that it was not run, and hands it over."""

    def _caller_packet(self, packet: CallerPacket) -> list[Command]:
        commands = super()._caller_packet(packet)
        if packet.kind is not CallerPacketKind.REQUEST:
            return commands
        kind = CallerReplyKind.REFUSED
        reply = CallerReply(kind, packet.flow, packet.request_id, packet.attempt, reason=Reason.BACKEND_SHED)
        return [SendToCaller(reply), *commands]


class Doubting(StatelessNode):
    """Says of every request that its outcome is unknown."""

    def _caller_packet(self, packet: CallerPacket) -> list[Command]:
        if packet.kind is not CallerPacketKind.REQUEST:
            return super()._caller_packet(packet)
        kind = CallerReplyKind.UNKNOWN
        return [SendToCaller(CallerReply(kind, packet.flow, packet.request_id, packet.attempt))]


class Outdated(StatelessNode):
    """Never takes a second generation."""

    def _configuration_read(self, event: ConfigurationRead) -> None:
        if not self.configuration.in_force.generation:
            super()._configuration_read(event)


class Reverting(StatelessNode):
    """Takes whatever generation it reads, older ones too."""

    def _configuration_read(self, event: ConfigurationRead) -> None:
        self.configuration.in_force = CompiledConfiguration(event.snapshot)


class Talkative(StatelessNode):
    """Sends itself an offer of a configuration for each packet."""

    def _caller_packet(self, packet: CallerPacket) -> list[Command]:
        offer = ConfigurationOffered(0, "x" * 4_000)
        return [*super()._caller_packet(packet), SendToPeer(self.identity.address, offer)]


class Lopsided(StatelessNode):
    """Places everything at the first back end."""

    def _choose(self, flow: FlowKey) -> str | None:
        service = self.configuration.in_force.services_by_address[flow.service_address]
        return service.eligible_backends[0].address


BROKEN_NODES: dict[str, type[StatelessNode]] = {
    "moving": Moving,
    "forgetting": Forgetting,
    "silent": Silent,
    "misrouting": Misrouting,
    "place-ignoring": PlaceIgnoring,
    "crossing": Crossing,
    "cutting": Cutting,
    "doubling": Doubling,
    "denying": Denying,
    "doubting": Doubting,
    "outdated": Outdated,
    "reverting": Reverting,
    "talkative": Talkative,
    "lopsided": Lopsided,
}

"""Nodes that break one promise each, to verify that the lab's checkers detect it."""

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

_ANSWERED_FLOWS: list[FlowKey] = []
"""Flows of all answers in order, shared by all nodes of class `Misdelivering`."""


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


class RandomChoice(StatelessNode):
    """Selects a random back end for each packet."""

    def _select_backend(self, flow: FlowKey) -> str | None:
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

    def _select_backend(self, flow: FlowKey) -> str | None:
        backends = sorted(self.configuration.in_force.backends_by_address)
        return backends[flow.incarnation % len(backends)]


class PlaceIgnoring(StatelessNode):
    """Also selects back ends in places that are not permitted."""

    def _select_backend(self, flow: FlowKey) -> str | None:
        service = self.configuration.in_force.services_by_address[flow.service_address]
        return service.backends[flow.incarnation % len(service.backends)].address


class Misdelivering(StatelessNode):
    """Sends each answer also to other flows, which may have a request with the same id."""

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle an event and send an answer to further flows too."""
        commands = super().handle(event, now)
        if not isinstance(event, BackendReplyReceived) or event.reply.kind is not BackendReplyKind.ANSWER:
            return commands
        _ANSWERED_FLOWS.append(event.reply.flow)
        other = _ANSWERED_FLOWS[-2] if len(_ANSWERED_FLOWS) > 1 else event.reply.flow
        reply = commands[0].reply  # type: ignore[union-attr]
        return [*commands, SendToCaller(msgspec.structs.replace(reply, flow=other)), *self._misdeliver(reply)]

    def _misdeliver(self, reply: CallerReply) -> list[Command]:
        recent = [flow for flow in self._cache if flow != reply.flow][-5:]
        return [SendToCaller(msgspec.structs.replace(reply, flow=flow)) for flow in recent]


class Truncating(StatelessNode):
    """Omits the last part of every answer."""

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle an event and shorten answers by one part."""
        commands = super().handle(event, now)
        if isinstance(event, BackendReplyReceived) and event.reply.parts > 1:
            reply = msgspec.structs.replace(commands[0].reply, parts=event.reply.parts - 1)  # type: ignore[union-attr]
            return [SendToCaller(reply)] if event.reply.part < reply.parts else []
        return commands


class Duplicating(StatelessNode):
    """Sends every request to the back end twice."""

    def _caller_packet(self, packet: CallerPacket) -> list[Command]:
        commands = super()._caller_packet(packet)
        return commands * 2 if packet.kind is CallerPacketKind.REQUEST else commands


class FalselyRefusing(StatelessNode):
    """Refuses every request as not run, but sends it to the back end."""

    def _caller_packet(self, packet: CallerPacket) -> list[Command]:
        commands = super()._caller_packet(packet)
        if packet.kind is not CallerPacketKind.REQUEST:
            return commands
        kind = CallerReplyKind.REFUSED
        reply = CallerReply(kind, packet.flow, packet.request_id, packet.attempt, reason=Reason.BACKEND_SHED)
        return [SendToCaller(reply), *commands]


class ResultLosing(StatelessNode):
    """Replies to every request that its outcome is unknown."""

    def _caller_packet(self, packet: CallerPacket) -> list[Command]:
        if packet.kind is not CallerPacketKind.REQUEST:
            return super()._caller_packet(packet)
        kind = CallerReplyKind.UNKNOWN
        return [SendToCaller(CallerReply(kind, packet.flow, packet.request_id, packet.attempt))]


class Stale(StatelessNode):
    """Never applies a second generation."""

    def _configuration_read(self, event: ConfigurationRead) -> None:
        if not self.configuration.in_force.generation:
            super()._configuration_read(event)


class Reverting(StatelessNode):
    """Applies any generation it reads, including older ones."""

    def _configuration_read(self, event: ConfigurationRead) -> None:
        self.configuration.in_force = CompiledConfiguration(event.snapshot)


class Chatty(StatelessNode):
    """Sends itself a large configuration offer for each packet."""

    def _caller_packet(self, packet: CallerPacket) -> list[Command]:
        offer = ConfigurationOffered(0, "x" * 4_000)
        return [*super()._caller_packet(packet), SendToPeer(self.identity.address, offer)]


class Skewed(StatelessNode):
    """Places all flows at the first back end."""

    def _select_backend(self, flow: FlowKey) -> str | None:
        service = self.configuration.in_force.services_by_address[flow.service_address]
        return service.eligible_backends[0].address


BROKEN_NODES: dict[str, type[StatelessNode]] = {
    "moving": Moving,
    "random-choice": RandomChoice,
    "silent": Silent,
    "misrouting": Misrouting,
    "place-ignoring": PlaceIgnoring,
    "misdelivering": Misdelivering,
    "truncating": Truncating,
    "duplicating": Duplicating,
    "falsely-refusing": FalselyRefusing,
    "result-losing": ResultLosing,
    "stale": Stale,
    "reverting": Reverting,
    "chatty": Chatty,
    "skewed": Skewed,
}

"""Converts sloepond's own packets and configuration to the input of `core.forwarding`.

`core.forwarding` handles packets as headers of numbers (`Segment`, `ReplyHeader`), and back ends as records
of a store.  This module makes both from `core.packets` and from a compiled configuration.  It holds no state
and relies on neither a clock nor the node.
"""

from __future__ import annotations

import hashlib
import ipaddress

from sloepond.core.forwarding.packets import ENDPOINT_BITS, PORT_BITS, ReplyHeader, Segment
from sloepond.core.forwarding.placement.places import PlaceRules
from sloepond.core.forwarding.state.backend_records import BackendRecord, BackendState
from sloepond.core.forwarding.state.routes import Route, Share
from sloepond.core.packets import (
    BackendReply,
    BackendReplyKind,
    CallerPacket,
    CallerPacketKind,
    FlowKey,
)
from sloepond.resources.compiled_items import CompiledBackend, CompiledService
from sloepond.resources.model import BackendState as DeclaredState

HOST_KEY_BYTES = 4
"""Bytes of the host in an endpoint key."""
NUMBER_BYTES = 8
"""Bytes of a back end's number, from which its routing token is made."""
_REFUSALS = (BackendReplyKind.REFUSED, BackendReplyKind.CANCELLED, BackendReplyKind.FLOW_UNKNOWN)
"""Replies that a request was not run; they show that the back end works."""


def segment_of(packet: CallerPacket) -> Segment:
    """Return the header of a caller's packet.

    The acknowledgement of an opening packet is the number of its retransmission; that of other packets
    grows with the requests of the flow.
    """
    destination = _endpoint_key(packet.flow.service_address)
    source = _endpoint_key(packet.flow.caller_address)
    is_opening = packet.kind is CallerPacketKind.OPEN
    return Segment(
        source=source >> PORT_BITS,
        source_port=source & (1 << PORT_BITS) - 1,
        destination=destination >> PORT_BITS,
        destination_port=destination & (1 << PORT_BITS) - 1,
        sequence=0,
        acknowledgement=packet.attempt if is_opening else _acknowledgement(packet.request_id),
        length=int(packet.kind is CallerPacketKind.REQUEST),
        is_opening=is_opening,
        is_closing=packet.kind is CallerPacketKind.CLOSE,
        is_reset=False,
        token=packet.token,
    )


def reply_header_of(reply: BackendReply) -> ReplyHeader | None:
    """Return the header of a back end's reply to a request, None for other replies.

    :raises ValueError: an address of the flow is invalid; packets of such a flow are not forwarded.
    """
    is_answer = reply.kind is BackendReplyKind.ANSWER
    if not reply.request_id or not (is_answer or reply.kind in _REFUSALS):
        return None
    return ReplyHeader(_flow_key(reply.flow), _acknowledgement(reply.request_id), reply.token, is_answer)


def route_of(service: CompiledService) -> Route:
    """Return the route of a service's address, to this service alone."""
    return Route(service.name, _endpoint_key(service.address), (Share(service.name, 1.0),))


def place_rules_of(services: tuple[CompiledService, ...]) -> PlaceRules:
    """Return the halls whose back ends may get new flows of each service.

    Halls of an evacuated zone are left out; their back ends keep their open flows.
    """
    return PlaceRules(
        {
            service.name: frozenset(
                backend.location.hall
                for backend in service.backends
                if backend.permitted and not backend.location.evacuated
            )
            for service in services
        }
    )


def record_of(backend: CompiledBackend, revision: int) -> BackendRecord:
    """Return a declared back end as a record of forwarding.

    Forwarding never changes the address or the service of a back end that it knows by name.  An operator
    may change both, so they are part of the name: a changed declaration is a new back end, and the former
    one has departed.

    :param revision: generation that declares it.
    """
    host, _, port = backend.address.rpartition(":")
    accepts_flows = backend.state is DeclaredState.ACTIVE and backend.weight > 0
    return BackendRecord(
        name=f"{backend.service}/{backend.name}@{backend.address}",
        number=_number_of(backend),
        service=backend.service,
        host=host,
        port=int(port),
        hall=backend.location.hall,
        slots=backend.slots,
        state=BackendState.READY if accepts_flows else BackendState.LEAVING,
        revision=revision,
    )


def _number_of(backend: CompiledBackend) -> int:
    """Return a number that is the same on every balancer and depends on the name and the address."""
    text = f"{backend.name} {backend.address}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=NUMBER_BYTES).digest(), "big")


def _acknowledgement(request_id: int) -> int:
    """Return the acknowledgement that packets of a flow carry once it has sent a request."""
    return request_id + 1


def _flow_key(flow: FlowKey) -> int:
    """Return `Segment.flow_key` of a flow's packets."""
    return _endpoint_key(flow.caller_address) << ENDPOINT_BITS | _endpoint_key(flow.service_address)


def _endpoint_key(address: str) -> int:
    host, _, port = address.rpartition(":")
    return _host_key(host) << PORT_BITS | int(port)


def _host_key(host: str) -> int:
    """Return 32 bits for a host: its IPv4 address, or a hash of its IPv6 address.

    Two hosts with the same hash and port cannot be distinguished; among n services with IPv6 addresses the
    probability of this is n^2 / 2^33.
    """
    if not host.startswith("["):
        return int(ipaddress.IPv4Address(host))
    packed = ipaddress.IPv6Address(host.strip("[]")).packed
    return int.from_bytes(hashlib.blake2b(packed, digest_size=HOST_KEY_BYTES).digest(), "big")

"""Headers of callers' packets and of replies, and the reasons for which a packet is not forwarded.

Owns: these types.  Relies on: the codec of the runtime to fill a segment.
"""

from __future__ import annotations

import enum

import msgspec

PORT_BITS = 16
"""Bits of the port in an endpoint key, below the 32 bits of the address."""
ENDPOINT_BITS = 48
"""Bits of an endpoint key."""


class Segment(msgspec.Struct, gc=False):
    """Header of one packet of a caller.

    Addresses are the 32 bits of IPv4 in host order.

    :ivar token: routing token the packet carries, 0 for none.
    :ivar acknowledgement: next byte expected from the other end; for an opening
        packet, the number of its retransmission, 0 for the first transmission.
    :ivar sequence: sequence number of the first byte of data.
    :ivar length: bytes of data.
    """

    source: int
    source_port: int
    destination: int
    destination_port: int
    sequence: int
    acknowledgement: int
    length: int
    is_opening: bool
    is_closing: bool
    is_reset: bool
    token: int

    @property
    def route_key(self) -> int:
        """Key of the endpoint that the caller sent to."""
        return self.destination << PORT_BITS | self.destination_port

    @property
    def flow_key(self) -> int:
        """Key of the flow: the caller's endpoint and the one it sent to."""
        caller = self.source << PORT_BITS | self.source_port
        return caller << ENDPOINT_BITS | self.route_key


class ReplyHeader(msgspec.Struct, frozen=True, gc=False):
    """Header of a back end's reply to a request, if replies pass through the balancer.

    :ivar flow_key: key of the flow; see `Segment.flow_key`.
    :ivar acknowledgement: `Segment.acknowledgement` of the request that is replied to.
    :ivar token: routing token of the back end.
    :ivar is_answer: whether it holds the answer or a part of it, not a refusal.
    """

    flow_key: int
    acknowledgement: int
    token: int
    is_answer: bool


def empty_segment(flow_key: int, acknowledgement: int) -> Segment:
    """Return the header of an empty packet of a flow, as its caller would send it.

    :param acknowledgement: next byte expected from the other end.
    """
    caller, route_key = flow_key >> ENDPOINT_BITS, flow_key & (1 << ENDPOINT_BITS) - 1
    port_mask = (1 << PORT_BITS) - 1
    return Segment(
        source=caller >> PORT_BITS,
        source_port=caller & port_mask,
        destination=route_key >> PORT_BITS,
        destination_port=route_key & port_mask,
        sequence=0,
        acknowledgement=acknowledgement,
        length=0,
        is_opening=False,
        is_closing=False,
        is_reset=False,
        token=0,
    )


class Refusal(enum.Enum):
    """Why a packet is not forwarded."""

    NO_ROUTE = "no_route"
    """No route for the endpoint that the caller sent to."""
    NO_BACKEND = "no_backend"
    """No back end of the route's services accepts the new flow."""
    UNKNOWN_TOKEN = "unknown_token"
    """The token is unknown here; it is looked up at peers."""
    NO_TOKEN = "no_token"
    """A packet of an open flow that carries no token."""
    NOT_CONFIGURED = "not_configured"
    """This balancer has no back ends yet."""
    STALE_KNOWLEDGE = "stale_knowledge"
    """The process was stalled, and has not read the store since."""
    UNREACHABLE = "unreachable"
    """The back end of the flow is gone."""

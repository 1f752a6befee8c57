"""Events taken by the node: what has happened outside, without any I/O.

Whoever runs the node makes events of datagrams, timers and answers of the platform.
"""

from __future__ import annotations

import msgspec

from sloepond.core.messages import Member, PeerMessage
from sloepond.core.packets import BackendReply, CallerPacket
from sloepond.resources.model import ConfigurationSnapshot


class CallerPacketReceived(msgspec.Struct, frozen=True, gc=False):
    """A caller's packet came from the fabric."""

    packet: CallerPacket


class BackendReplyReceived(msgspec.Struct, frozen=True, gc=False):
    """A packet came from a back end.

    :ivar backend_address: `ip:port` it came from.
    """

    backend_address: str
    reply: BackendReply


class PeerMessageReceived(msgspec.Struct, frozen=True, gc=False):
    """An authenticated message came from another balancer.

    :ivar sender: name of the balancer.
    :ivar sender_incarnation: its incarnation.
    :ivar sender_address: `ip:port` it came from.
    """

    sender: str
    sender_incarnation: int
    sender_address: str
    message: PeerMessage


class TimerFired(msgspec.Struct, frozen=True):
    """The time asked for by `Node.next_deadline` has come (or later)."""


class ConfigurationRead(msgspec.Struct, frozen=True):
    """The platform's configuration service answered with a valid snapshot."""

    snapshot: ConfigurationSnapshot


class ConfigurationReadUnchanged(msgspec.Struct, frozen=True):
    """The platform's configuration service answered that the known generation is its newest."""


class ConfigurationReadFailed(msgspec.Struct, frozen=True):
    """The platform's configuration service is down or its answer is invalid."""

    reason: str


class MachineListRead(msgspec.Struct, frozen=True):
    """The platform's list of live machines was read; a hint that may lag."""

    members: tuple[Member, ...]


class StopRequested(msgspec.Struct, frozen=True):
    """The operator asked for a planned stop."""


Event = (
    CallerPacketReceived
    | BackendReplyReceived
    | PeerMessageReceived
    | TimerFired
    | ConfigurationRead
    | ConfigurationReadUnchanged
    | ConfigurationReadFailed
    | MachineListRead
    | StopRequested
)

"""Events that the node handles.

The node's runtime creates events from datagrams, timers and answers of the platform.
"""

from __future__ import annotations

import msgspec

from sloepond.core.messages import Member, PeerMessage
from sloepond.core.packets import BackendReply, CallerPacket
from sloepond.resources.model import ConfigurationSnapshot


class CallerPacketReceived(msgspec.Struct, frozen=True, gc=False):
    """A caller's packet was received from the fabric."""

    packet: CallerPacket


class BackendReplyReceived(msgspec.Struct, frozen=True, gc=False):
    """A packet was received from a back end.

    :ivar backend_address: address `ip:port` of the sender.
    """

    backend_address: str
    reply: BackendReply


class PeerMessageReceived(msgspec.Struct, frozen=True, gc=False):
    """An authenticated message was received from another balancer.

    :ivar sender: name of the balancer.
    :ivar sender_incarnation: incarnation of the balancer.
    :ivar sender_address: address `ip:port` of the sender.
    """

    sender: str
    sender_incarnation: int
    sender_address: str
    message: PeerMessage


class TimerFired(msgspec.Struct, frozen=True):
    """The time of `Node.next_deadline` was reached."""


class ConfigurationRead(msgspec.Struct, frozen=True):
    """The platform's configuration service answered with a valid snapshot."""

    snapshot: ConfigurationSnapshot


class ConfigurationReadUnchanged(msgspec.Struct, frozen=True):
    """The platform's configuration service answered that it has no newer generation than the known one."""


class ConfigurationReadFailed(msgspec.Struct, frozen=True):
    """The platform's configuration service is down or its answer is invalid."""

    reason: str


class MachineListRead(msgspec.Struct, frozen=True):
    """The platform's list of live machines was read; it may be out of date."""

    members: tuple[Member, ...]


class StopRequested(msgspec.Struct, frozen=True):
    """The operator requested a planned stop."""


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

"""Commands returned by the node: actions for its runtime.

The node only decides; its runtime (daemon or lab) carries out the commands in order.
"""

from __future__ import annotations

import enum

import msgspec

from sloepond.core.messages import PeerMessage
from sloepond.core.packets import BackendPacket, CallerReply


class SendToCaller(msgspec.Struct, frozen=True, gc=False):
    """Send a packet to the caller named in `reply.flow`."""

    reply: CallerReply


class SendToBackend(msgspec.Struct, frozen=True, gc=False):
    """Send a packet to a back end at `address` (`ip:port`)."""

    address: str
    packet: BackendPacket


class SendToPeer(msgspec.Struct, frozen=True, gc=False):
    """Send a message to the balancer at peer address `address` (`ip:port`)."""

    address: str
    message: PeerMessage


class ReadConfiguration(msgspec.Struct, frozen=True):
    """Read the platform's configuration, unless its generation is still `known_generation`."""

    known_generation: int


class ReadMachineList(msgspec.Struct, frozen=True):
    """Read the platform's list of machines."""


class TransitionKind(enum.StrEnum):
    """Changes of state that are logged."""

    CONFIGURATION_IN_FORCE = "configuration-in-force"
    CONFIGURATION_REJECTED = "configuration-rejected"
    CONFIGURATION_SERVICE_DOWN = "configuration-service-down"
    CONFIGURATION_SERVICE_UP = "configuration-service-up"
    STALL_DETECTED = "stall-detected"


class RecordTransition(msgspec.Struct, frozen=True):
    """Write one log line for a change of state.

    :ivar subject: item that changed (a generation, a service or this balancer).
    :ivar detail: short text with the new state and the reason.
    """

    kind: TransitionKind
    subject: str
    detail: str


class CompleteStop(msgspec.Struct, frozen=True):
    """The planned stop is complete; the process may exit."""


Command = (
    SendToCaller
    | SendToBackend
    | SendToPeer
    | ReadConfiguration
    | ReadMachineList
    | RecordTransition
    | CompleteStop
)

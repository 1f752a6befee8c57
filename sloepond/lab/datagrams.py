"""Inputs of the lab's machines that carry more than the packet or message alone.

Owns no state; the world creates them and the machines handle them.
"""

from __future__ import annotations

import msgspec

from sloepond.core.events import Event
from sloepond.core.messages import PeerMessage
from sloepond.core.packets import BackendPacket


class PeerDatagram(msgspec.Struct, frozen=True, gc=False):
    """A message from one balancer to another, with the identity of the sender."""

    sender: str
    sender_incarnation: int
    sender_address: str
    message: PeerMessage


class BackendDatagram(msgspec.Struct, frozen=True, gc=False):
    """A packet and the address of the balancer that sent it."""

    source: str
    packet: BackendPacket


class ProcessResult(msgspec.Struct, frozen=True, gc=False):
    """The result of a read or a stop request, valid only for the process with this number."""

    process_number: int
    event: Event

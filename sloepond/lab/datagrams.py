"""What machines of the lab receive, besides packets that need no more than themselves.

Owns nothing; the world makes these and the machines take them.
"""

from __future__ import annotations

import msgspec

from sloepond.core.events import Event
from sloepond.core.messages import PeerMessage
from sloepond.core.packets import BackendPacket


class PeerDatagram(msgspec.Struct, frozen=True, gc=False):
    """A message from one balancer to another."""

    sender: str
    sender_incarnation: int
    sender_address: str
    message: PeerMessage


class BackendDatagram(msgspec.Struct, frozen=True, gc=False):
    """A packet and the address of the balancer that sent it."""

    source: str
    packet: BackendPacket


class ProcessResult(msgspec.Struct, frozen=True, gc=False):
    """What a read gave, for the process with a number alone."""

    process_number: int
    event: Event

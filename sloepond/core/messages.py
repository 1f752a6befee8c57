"""Messages between balancers, and the type that identifies a balancer.

Every message is a tagged, array-like msgspec struct, so a datagram carries no field names.  `wire.codec`
encodes messages and `wire.authentication` wraps them.

Tags below 10 and from 20 on belonged to messages that are no longer sent.  A new message must not reuse them,
since a balancer of an earlier version would decode it as another message.
"""

from __future__ import annotations

import msgspec

from sloepond.resources.model import Location


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One balancer process.

    :ivar name: name from the settings, unique among live balancers.
    :ivar incarnation: number of this start, larger than at any earlier one
        (milliseconds of wall time at the start).
    :ivar address: peer address `ip:port`.
    """

    name: str
    incarnation: int
    address: str
    location: Location


class ConfigurationRequested(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Requests the changes since a generation.

    :ivar have_generation: generation in force at the sender, 0 for none.
    :ivar want_generation: generation that was announced to the sender.
    :ivar part: index of the first part still missing.
    """

    have_generation: int
    want_generation: int
    part: int


class ConfigurationPart(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """A part of an encoded snapshot or delta.

    :ivar base_generation: generation the delta applies to; 0 for a snapshot.
    """

    generation: int
    digest: str
    base_generation: int
    part: int
    parts: int
    data: bytes


class ConfigurationOffered(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Announces which generation is in force at the sender.

    :ivar generation: 0 if none is in force; the receiver answers with its own.
    :ivar digest: first 8 hexadecimal digits of the generation's digest.
    """

    generation: int
    digest: str


PeerMessage = ConfigurationRequested | ConfigurationPart | ConfigurationOffered

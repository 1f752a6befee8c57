"""Messages between balancers, and who sends them.

Every message is a tagged, array-like msgspec struct, so that a datagram carries
no field names.  `wire.codec` encodes them and `wire.authentication` wraps them.

Tags below 10 and from 20 on belonged to messages that are no longer sent; a new message takes
none of them, since a balancer of an earlier version would read it as something else.
"""

from __future__ import annotations

import msgspec

from sloepond.resources.model import Location


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One balancer process.

    :ivar name: name from the settings, unique among live balancers.
    :ivar incarnation: drawn anew at each start, always larger than before
        (milliseconds of wall time at start).
    :ivar address: peer address `ip:port`.
    """

    name: str
    incarnation: int
    address: str
    location: Location


class ConfigurationRequested(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks for what changed since a generation.

    :ivar have_generation: generation in force at the sender, 0 for none.
    :ivar want_generation: generation the sender has heard of.
    :ivar part: first part still missing.
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
    """Tells a balancer which generation is in force at the sender.

    :ivar generation: 0 where none is; the receiver answers with its own.
    :ivar digest: first 8 hexadecimal digits of the generation's digest.
    """

    generation: int
    digest: str


PeerMessage = ConfigurationRequested | ConfigurationPart | ConfigurationOffered

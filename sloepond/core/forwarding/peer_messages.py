"""What balancers say to each other, by datagram (`PeerMessage`) or stream (`Knowledge`)."""

from __future__ import annotations

import msgspec

from sloepond.core.forwarding.backends import BackendRecord
from sloepond.core.forwarding.routes import RouteConfiguration


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A balancer is alive and knows this much.

    :ivar routes_version: version of the routes in force, 0 for none.
    :ivar backends_revision: the store's revision of the last change of back ends
        it has seen.
    :ivar is_leaving: whether it stops.
    :ivar known_peers: IP addresses of a few other balancers.
    """

    routes_version: int
    backends_revision: int
    is_leaving: bool
    known_peers: tuple[str, ...]


class TokenAsked(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A question: the back end that has this token."""

    token: int


class TokenFound(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The back end that has a token.

    :ivar departed_s: seconds since it left the list, 0 if it is listed.
    """

    record: BackendRecord
    departed_s: float


PeerMessage = Heartbeat | TokenAsked | TokenFound


class KnownBackend(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A back end and how long ago it left the list."""

    record: BackendRecord
    departed_s: float


class Knowledge(msgspec.Struct, frozen=True, array_like=True):
    """All that a balancer knows, for one that has just started.

    :ivar routes_age_s: seconds since the store last answered about the routes.
    :ivar backends_age_s: the same about the back ends.
    """

    routes: RouteConfiguration
    routes_age_s: float
    backends: tuple[KnownBackend, ...]
    backends_age_s: float

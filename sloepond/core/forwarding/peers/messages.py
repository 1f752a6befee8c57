"""Messages between balancers, by datagram (`PeerMessage`) or by stream (`StreamRequest` and its answers).

Owns: the form of the messages.  Each is encoded as an array in the order of its fields with its tag in
front, so fields are added at the end only, with a default.  Relies on: `msgspec`.
"""

from __future__ import annotations

import msgspec

from sloepond.core.forwarding.state.backend_records import BackendRecord
from sloepond.core.forwarding.state.evacuated_halls import EvacuatedHalls
from sloepond.core.forwarding.state.list_checksum import NO_CHECKSUM
from sloepond.core.forwarding.state.route_delta import RouteDelta
from sloepond.core.forwarding.state.routes import RouteConfiguration


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The sender is alive and knows this much.

    :ivar routes_version: version of the routes in force, 0 for none.
    :ivar backends_revision: the store's revision of the last change of back ends
        that the sender knows.
    :ivar is_leaving: whether it stops.
    :ivar known_peers: IP addresses of a few other balancers.
    :ivar hall: hall of the sender.
    """

    routes_version: int
    backends_revision: int
    is_leaving: bool
    known_peers: tuple[str, ...]
    hall: str = ""


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Requests the back end that has a token."""

    token: int


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Answers `TokenRequest`: the back end that has the token.

    :ivar departed_s: seconds since it left the list, 0 if it is listed.
    :ivar announced_leaving: whether it had said that it leaves.
    """

    record: BackendRecord
    departed_s: float
    announced_leaving: bool = False


class KnownBackend(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A back end as a balancer knows it.

    :ivar departed_s: seconds since it left the list, 0 if it is listed.
    :ivar announced_leaving: whether it had said that it leaves.
    """

    record: BackendRecord
    departed_s: float
    announced_leaving: bool = False


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """What has changed in the store lately.

    :ivar routes_version: version of the routes in force at the sender.
    :ivar route_delta: what leads to that or an earlier version, if it is small.
    :ivar base_revision: the store's revision from which `backends` holds all changes.
    :ivar revision: revision up to which it holds them.
    :ivar last_change_revision: revision of the last change of a back end known to the sender.
    :ivar backends: changed back ends as they are now.
    :ivar evacuated: all evacuated halls the sender knows of.
    :ivar list_checksum: anti-entropy checksum of the sender's list of back ends at `revision`,
        `NO_CHECKSUM` where the message carries none.
    """

    routes_version: int
    route_delta: RouteDelta | None
    base_revision: int
    revision: int
    last_change_revision: int
    backends: tuple[KnownBackend, ...] = ()
    evacuated: EvacuatedHalls = EvacuatedHalls()
    list_checksum: int = NO_CHECKSUM


class Confirmation(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A reader of the store confirms to all others what it knows; each passes it on once.

    :ivar reader: identity of the reader's process.
    :ivar rank: of the reader; see `ReaderElection`.
    :ivar sequence_number: grows with each confirmation of this reader.
    :ivar is_candidacy: whether the sender is only a candidate and confirms nothing.
    :ivar age_s: seconds since the store last answered the reader.
    """

    reader: int
    rank: float
    sequence_number: int
    is_candidacy: bool
    age_s: float
    changes: Changes


class ChangesRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Requests what has changed since a version of the routes and a revision of the store."""

    routes_version: int
    revision: int


class ChangesReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Answers `ChangesRequest`, or a part of it."""

    changes: Changes


class ConfirmationsRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Requests the last confirmations, for a balancer that has received none lately."""


class BackendUnreachable(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The sender, or one before it, could not reach a back end."""

    name: str


class RequestUnanswered(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """A back end has left a request of the sender unanswered; sent to the balancers assigned to it."""

    name: str


class BackendFailing(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """A balancer assigned to a back end says that it leaves requests unanswered.

    :ivar duration_s: for how long it is given no new flow.
    """

    name: str
    duration_s: float


FailureMessage = RequestUnanswered | BackendFailing
PeerMessage = (
    Heartbeat
    | TokenRequest
    | TokenReply
    | Confirmation
    | ChangesRequest
    | ChangesReply
    | ConfirmationsRequest
    | BackendUnreachable
    | RequestUnanswered
    | BackendFailing
)


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that a balancer knows, for one that has just started; answers `SnapshotRequest`.

    :ivar routes_age_s: seconds since the store last answered about the routes.
    :ivar backends_age_s: the same about the back ends.
    :ivar revision: the store's revision up to which changes of back ends are known.
    """

    routes: RouteConfiguration
    routes_age_s: float
    backends: tuple[KnownBackend, ...]
    backends_age_s: float
    revision: int = 0
    evacuated: EvacuatedHalls = EvacuatedHalls()


class SnapshotRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Requests a snapshot, on a stream."""


class RoutesRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Requests the differences since a version of the routes, on a stream."""

    version: int


StreamRequest = SnapshotRequest | RoutesRequest

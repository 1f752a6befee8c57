"""Messages between balancers, by datagram (`PeerMessage`) or by stream (`StreamRequest` and its answers).

Owns: the format of the messages.  Each is encoded as an array of its tag and its fields in order, so new
fields are added only at the end, with a default.  Relies on: `msgspec`.
"""

from __future__ import annotations

import msgspec

from sloepond.core.forwarding.state.backend_records import BackendRecord
from sloepond.core.forwarding.state.evacuated_halls import EvacuatedHalls
from sloepond.core.forwarding.state.list_checksum import NO_CHECKSUM
from sloepond.core.forwarding.state.route_delta import RouteDelta
from sloepond.core.forwarding.state.routes import RouteConfiguration


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Reports that the sender is alive, and how current its state is.

    :ivar routes_version: version of the routes in force, 0 for none.
    :ivar backends_revision: the store's revision of the last change of a back end
        that the sender has.
    :ivar is_leaving: whether the sender is stopping.
    :ivar known_peers: IP addresses of a few other balancers.
    :ivar hall: hall of the sender.
    """

    routes_version: int
    backends_revision: int
    is_leaving: bool
    known_peers: tuple[str, ...]
    hall: str = ""


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Requests the back end that holds a routing token."""

    token: int


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Answers `TokenRequest`: the back end that holds the token.

    :ivar departed_s: seconds since it left the list, 0 if it is listed.
    :ivar announced_leaving: whether it had announced that it was leaving.
    """

    record: BackendRecord
    departed_s: float
    announced_leaving: bool = False


class KnownBackend(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A back end with the state that a balancer holds for it.

    :ivar departed_s: seconds since it left the list, 0 if it is listed.
    :ivar announced_leaving: whether it had announced that it was leaving.
    """

    record: BackendRecord
    departed_s: float
    announced_leaving: bool = False


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """Recent changes in the store.

    :ivar routes_version: version of the routes in force at the sender.
    :ivar route_delta: difference that leads to that or an earlier version, if it is small.
    :ivar base_revision: the store's revision after which `backends` holds all changes.
    :ivar revision: revision up to which it holds them.
    :ivar last_change_revision: revision of the last change of a back end that the sender has.
    :ivar backends: changed back ends in their current state.
    :ivar evacuated: all evacuated halls.
    :ivar list_checksum: anti-entropy checksum of the sender's list of back ends at `revision`,
        `NO_CHECKSUM` if the message carries none.
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
    """Confirms a reader's state of the store to all balancers; each forwards it once.

    :ivar reader: identity of the reader's process.
    :ivar rank: rank of the reader; see `ReaderElection`.
    :ivar sequence_number: increases with each message of this reader.
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
    """Requests the changes since a version of the routes and a revision of the store."""

    routes_version: int
    revision: int


class ChangesReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Answers `ChangesRequest`, or a part of it."""

    changes: Changes


class ConfirmationsRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Requests the last confirmations; sent by a balancer that has received none recently."""


class BackendUnreachable(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Reports that the sender, or an earlier sender of this gossip, could not reach a back end."""

    name: str


class RequestUnanswered(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Reports a request that a back end left unanswered, to the balancers assigned to that back end."""

    name: str


class BackendFailing(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Reports, from a balancer assigned to a back end, that it is ejected for requests left unanswered.

    :ivar duration_s: seconds for which it is given no new flow.
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
    """The whole state of a balancer, for one that has just started; answers `SnapshotRequest`.

    :ivar routes_age_s: seconds since the store last confirmed the routes.
    :ivar backends_age_s: seconds since the store last confirmed the back ends.
    :ivar revision: the store's revision up to which all changes of back ends are included.
    """

    routes: RouteConfiguration
    routes_age_s: float
    backends: tuple[KnownBackend, ...]
    backends_age_s: float
    revision: int = 0
    evacuated: EvacuatedHalls = EvacuatedHalls()


class SnapshotRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Requests a snapshot, by stream."""


class RoutesRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Requests the differences since a version of the routes, by stream."""

    version: int


StreamRequest = SnapshotRequest | RoutesRequest

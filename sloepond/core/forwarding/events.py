"""Events of the forwarding node: what the runtime reports to it.

Owns: the events and the unions that group them by where they come from.  Relies on: `state` and `peers`
for the records and messages that events carry.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.peers.messages import PeerMessage, Snapshot
from sloepond.core.forwarding.state.backend_records import BackendRecord
from sloepond.core.forwarding.state.evacuated_halls import EvacuationChange
from sloepond.core.forwarding.state.route_delta import RouteDelta
from sloepond.core.forwarding.state.routes import RouteConfiguration


class Subject(enum.IntEnum):
    """What is watched in the store."""

    ROUTES = 0
    BACKENDS = 1


class StoreFailure(enum.Enum):
    """Why a call to the store failed."""

    UNREACHABLE = "unreachable"
    """No connection, or one that broke."""
    TIMED_OUT = "timed_out"
    """No answer in time."""
    REFUSED = "refused"
    """The store answered with an error that is none of the others."""
    THROTTLED = "throttled"
    """The store answered that there are too many calls."""
    HISTORY_LOST = "history_lost"
    """The store no longer knows the changes since the revision of a watch."""
    MALFORMED = "malformed"
    """The answer could not be decoded."""


class RoutesRead(msgspec.Struct, frozen=True):
    """The routes and the evacuated halls were read whole.

    :ivar revision: the store's revision at the read.
    :ivar configuration: the routes, None if operators have written none yet.
    :ivar evacuated: the halls that are evacuated.
    """

    revision: int
    configuration: RouteConfiguration | None
    evacuated: tuple[str, ...] = ()


class UnreadableBackend(msgspec.Struct, frozen=True):
    """An entry of the list that names no back end to use; other programs may write there too.

    :ivar name: what the entry would be called, shortened if it is very long.
    :ivar revision: at which it was written.
    :ivar reason: why it cannot be used, for a log line.
    """

    name: str
    revision: int
    reason: str


class BackendsRead(msgspec.Struct, frozen=True):
    """The whole list of back ends was read.

    :ivar revision: the store's revision at the read.
    :ivar unreadable: entries that name no back end to use.
    """

    revision: int
    records: tuple[BackendRecord, ...]
    unreadable: tuple[UnreadableBackend, ...] = ()


def backends_read(revision: int, entries: Iterable[BackendRecord | UnreadableBackend]) -> BackendsRead:
    """Return the event of a list that holds these entries."""
    records: list[BackendRecord] = []
    unreadable: list[UnreadableBackend] = []
    for entry in entries:
        if isinstance(entry, BackendRecord):
            records.append(entry)
        else:
            unreadable.append(entry)
    return BackendsRead(revision, tuple(records), tuple(unreadable))


class RoutesChanged(msgspec.Struct, frozen=True):
    """A watch of the routes was answered.

    :ivar revision: the store's revision up to which these are all changes.
    :ivar configurations: the routes as they were written, oldest first.
    :ivar halls: evacuated halls and such taken back, oldest first.
    """

    revision: int
    configurations: tuple[RouteConfiguration, ...]
    halls: tuple[EvacuationChange, ...] = ()


class DepartedBackend(msgspec.Struct, frozen=True):
    """A back end's entry is gone from the list as of a revision."""

    name: str
    revision: int


class BackendsChanged(msgspec.Struct, frozen=True):
    """A watch of the back ends was answered.

    :ivar revision: the store's revision up to which these are all changes.
    :ivar changes: in the order in which they were written.
    """

    revision: int
    changes: tuple[BackendRecord | DepartedBackend | UnreadableBackend, ...]


class StoreCallFailed(msgspec.Struct, frozen=True):
    """A read or a watch failed.

    :ivar was_watch: whether it was a watch, not a read.
    :ivar detail: what is wrong with an answer that cannot be decoded, for a log line; else empty.
    """

    subject: Subject
    reason: StoreFailure
    was_watch: bool
    detail: str = ""


class StorePageReceived(msgspec.Struct, frozen=True):
    """A page of a list has come from the store, and is not the last one."""


class StoreProbed(msgspec.Struct, frozen=True):
    """A probe of the store has ended.

    :ivar failure: why there was no answer, None where there was one.
    :ivar revision: the store's revision at the answer, 0 where it named none.
    """

    failure: StoreFailure | None
    revision: int = 0


class TimerFired(msgspec.Struct, frozen=True):
    """The time of `next_deadline` has come, or is past."""


class SettingsChanged(msgspec.Struct, frozen=True):
    """The settings have changed.

    :ivar seeds: IP addresses of balancers that may be up.
    :ivar store: address of the store.
    """

    seeds: tuple[str, ...]
    store: str


class StopRequested(msgspec.Struct, frozen=True):
    """A planned stop begins."""


class PeersReachable(msgspec.Struct, frozen=True):
    """Peers can be reached from now on."""


class PeerMessageReceived(msgspec.Struct, frozen=True):
    """A datagram came from another balancer.

    :ivar ip: address it came from.
    """

    ip: str
    message: PeerMessage


class SnapshotReceived(msgspec.Struct, frozen=True):
    """A requested snapshot has come from a peer."""

    ip: str
    snapshot: Snapshot


class FetchFailed(msgspec.Struct, frozen=True):
    """A request to a peer by stream has failed, or the peer knows nothing."""

    ip: str


class RoutesReceived(msgspec.Struct, frozen=True):
    """Requested differences that lead to a peer's version of the routes have come.

    :ivar deltas: each applies to the version that the one before leads to.
    """

    ip: str
    deltas: tuple[RouteDelta, ...]


class OpeningQueued(msgspec.Struct, frozen=True):
    """There is no room for a new flow: its opening packet waits."""

    segment: Segment
    datagram: bytes


class UnknownTokenReceived(msgspec.Struct, frozen=True):
    """A packet carries a token that is unknown here."""

    token: int
    datagram: bytes


class BackendSuspected(msgspec.Struct, frozen=True):
    """Packets hint that a back end may be gone."""

    name: str


class CheckResult(enum.Enum):
    """What a check of a back end has shown."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    """Another back end was not reached either: it may be this balancer's own link."""


class BackendChecked(msgspec.Struct, frozen=True):
    """A check of a back end has ended."""

    name: str
    result: CheckResult


StoreAnswer = RoutesRead | BackendsRead | RoutesChanged | BackendsChanged
StoreEvent = StoreAnswer | StoreCallFailed | StoreProbed | StorePageReceived
PeerEvent = PeerMessageReceived | SnapshotReceived | FetchFailed | RoutesReceived
PacketEvent = OpeningQueued | UnknownTokenReceived | BackendSuspected | BackendChecked
ProcessEvent = PeersReachable | SettingsChanged | StopRequested
Event = StoreEvent | PeerEvent | PacketEvent | ProcessEvent | TimerFired

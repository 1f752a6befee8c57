"""Events of the forwarding node, which the runtime reports to it.

Owns: the events and the unions that group them by their source.  Relies on: `state` and `peers` for the
records and messages that events carry.
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
    """Kinds of content that are read and watched in the store."""

    ROUTES = 0
    BACKENDS = 1


class StoreFailure(enum.Enum):
    """Why a call to the store failed."""

    UNREACHABLE = "unreachable"
    """The connection could not be opened, or it broke."""
    TIMED_OUT = "timed_out"
    """No answer in time."""
    REFUSED = "refused"
    """The store answered with an error other than those below."""
    THROTTLED = "throttled"
    """The store answered that there are too many calls."""
    HISTORY_LOST = "history_lost"
    """The store no longer holds the changes since the revision of a watch."""
    MALFORMED = "malformed"
    """The answer could not be decoded."""


class RoutesRead(msgspec.Struct, frozen=True):
    """All routes and evacuated halls were read.

    :ivar revision: the store's revision at the read.
    :ivar configuration: the routes, None if operators have written none yet.
    :ivar evacuated: names of the evacuated halls.
    """

    revision: int
    configuration: RouteConfiguration | None
    evacuated: tuple[str, ...] = ()


class UnreadableBackend(msgspec.Struct, frozen=True):
    """An entry of the list that describes no usable back end; other programs may write there too.

    :ivar name: name of the entry, truncated if it is very long.
    :ivar revision: revision at which it was written.
    :ivar reason: why it cannot be used, for a log line.
    """

    name: str
    revision: int
    reason: str


class BackendsRead(msgspec.Struct, frozen=True):
    """The whole list of back ends was read.

    :ivar revision: the store's revision at the read.
    :ivar unreadable: entries that describe no usable back end.
    """

    revision: int
    records: tuple[BackendRecord, ...]
    unreadable: tuple[UnreadableBackend, ...] = ()


def backends_read(revision: int, entries: Iterable[BackendRecord | UnreadableBackend]) -> BackendsRead:
    """Return the event for a list with these entries."""
    records: list[BackendRecord] = []
    unreadable: list[UnreadableBackend] = []
    for entry in entries:
        if isinstance(entry, BackendRecord):
            records.append(entry)
        else:
            unreadable.append(entry)
    return BackendsRead(revision, tuple(records), tuple(unreadable))


class RoutesChanged(msgspec.Struct, frozen=True):
    """A watch of the routes was answered, or a verification of it.

    :ivar revision: the store's revision up to which these are all changes.
    :ivar configurations: the routes as they were written, oldest first.
    :ivar halls: evacuations and withdrawals of evacuations, oldest first.
    :ivar generation: that of the watch, see `WatchSubject`.
    :ivar is_verification: whether this answers a verification, not a watch.
    """

    revision: int
    configurations: tuple[RouteConfiguration, ...]
    halls: tuple[EvacuationChange, ...] = ()
    generation: int = 0
    is_verification: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether there is no change."""
        return not self.configurations and not self.halls


class DepartedBackend(msgspec.Struct, frozen=True):
    """A back end's entry was removed from the list at a revision."""

    name: str
    revision: int


class BackendsChanged(msgspec.Struct, frozen=True):
    """A watch of the back ends was answered, or a verification of it.

    :ivar revision: the store's revision up to which these are all changes.
    :ivar changes: changes in the order in which they were written.
    :ivar generation: that of the watch, see `WatchSubject`.
    :ivar is_verification: whether this answers a verification, not a watch.
    """

    revision: int
    changes: tuple[BackendRecord | DepartedBackend | UnreadableBackend, ...]
    generation: int = 0
    is_verification: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether there is no change."""
        return not self.changes


class StoreCallFailed(msgspec.Struct, frozen=True):
    """A read, a watch or a verification failed.

    :ivar was_watch: whether it was a watch.
    :ivar detail: why the answer cannot be decoded, for a log line; else empty.
    :ivar generation: that of the watch, see `WatchSubject`.
    :ivar was_verification: whether it was a verification; if neither, it was a read.
    """

    subject: Subject
    reason: StoreFailure
    was_watch: bool
    detail: str = ""
    generation: int = 0
    was_verification: bool = False


ChangesEvent = RoutesChanged | BackendsChanged | StoreCallFailed
"""Result of a watch or a verification."""


class StorePageReceived(msgspec.Struct, frozen=True):
    """A page of a list was received from the store, and is not the last one."""


class StoreProbed(msgspec.Struct, frozen=True):
    """A probe of the store has ended.

    :ivar failure: why there was no answer, None if there was one.
    :ivar revision: the store's revision at the answer, 0 if the answer has none.
    """

    failure: StoreFailure | None
    revision: int = 0


class TimerFired(msgspec.Struct, frozen=True):
    """The time of `next_deadline` was reached."""


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
    """A datagram was received from another balancer.

    :ivar ip: address of the sender.
    """

    ip: str
    message: PeerMessage


class SnapshotReceived(msgspec.Struct, frozen=True):
    """A requested snapshot was received from a peer."""

    ip: str
    snapshot: Snapshot


class FetchFailed(msgspec.Struct, frozen=True):
    """A request to a peer over a stream has failed, or the peer has no content."""

    ip: str


class RoutesReceived(msgspec.Struct, frozen=True):
    """Requested differences that lead to a peer's version of the routes were received.

    :ivar deltas: differences in order; each applies to the version that the one before it leads to.
    """

    ip: str
    deltas: tuple[RouteDelta, ...]


class OpeningQueued(msgspec.Struct, frozen=True):
    """A new flow cannot be placed yet: its opening packet is queued."""

    segment: Segment
    datagram: bytes


class UnknownTokenReceived(msgspec.Struct, frozen=True):
    """A packet with a token that is unknown here was received."""

    token: int
    datagram: bytes


class BackendSuspected(msgspec.Struct, frozen=True):
    """Packets indicate that a back end may be gone."""

    name: str


class CheckResult(enum.Enum):
    """Result of a check of a back end."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    """Another back end could not be reached either, so this balancer's own link may be down."""


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

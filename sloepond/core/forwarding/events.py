"""Events and commands of the forwarding node: what happened, and what is to be done."""

from __future__ import annotations

import enum

import msgspec

from sloepond.core.forwarding.backends import BackendRecord, Endpoint
from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.peer_messages import Knowledge, PeerMessage
from sloepond.core.forwarding.route_delta import RouteDelta
from sloepond.core.forwarding.routes import RouteConfiguration


class Subject(enum.IntEnum):
    """What is followed in the store."""

    ROUTES = 0
    BACKENDS = 1


class StoreFailure(enum.Enum):
    """Why a call to the store brought nothing."""

    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    REFUSED = "refused"
    """The store said that it did nothing."""
    THROTTLED = "throttled"
    HISTORY_LOST = "history_lost"
    MALFORMED = "malformed"


class RoutesRead(msgspec.Struct, frozen=True):
    """The newest routes were read; none if there are none yet.

    :ivar revision: the store's revision at the read.
    """

    revision: int
    configuration: RouteConfiguration | None


class BackendsRead(msgspec.Struct, frozen=True):
    """The whole list of back ends was read."""

    revision: int
    records: tuple[BackendRecord, ...]


class RoutesChanged(msgspec.Struct, frozen=True):
    """A watch answered: the routes as they were written, oldest first."""

    revision: int
    configurations: tuple[RouteConfiguration, ...]


class DepartedBackend(msgspec.Struct, frozen=True):
    """A back end's entry is gone."""

    name: str
    revision: int


class BackendsChanged(msgspec.Struct, frozen=True):
    """A watch answered: changes in their order."""

    revision: int
    changes: tuple[BackendRecord | DepartedBackend, ...]


class StoreCallFailed(msgspec.Struct, frozen=True):
    """A call to the store brought nothing.

    :ivar was_watch: whether it was a watch, not a read.
    """

    subject: Subject
    reason: StoreFailure
    was_watch: bool


class StoreProbed(msgspec.Struct, frozen=True):
    """A call that only asks whether the store answers has ended.

    :ivar failure: why there was no answer, None where there was one.
    """

    failure: StoreFailure | None


class TimerFired(msgspec.Struct, frozen=True):
    """The time asked for by `next_deadline` has come (or later)."""


class SettingsChanged(msgspec.Struct, frozen=True):
    """The settings have changed.

    :ivar seeds: IP addresses of balancers that may be up.
    :ivar store: address of the store.
    """

    seeds: tuple[str, ...]
    store: str


class StopRequested(msgspec.Struct, frozen=True):
    """A planned stop begins."""


class PeersJoined(msgspec.Struct, frozen=True):
    """Peers can be spoken to from now on."""


class PeerMessageReceived(msgspec.Struct, frozen=True):
    """A datagram came from another balancer.

    :ivar ip: address it came from.
    """

    ip: str
    message: PeerMessage


class KnowledgeReceived(msgspec.Struct, frozen=True):
    """A peer has told all it knows."""

    ip: str
    knowledge: Knowledge


class RoutesTold(msgspec.Struct, frozen=True):
    """A peer has told differences that lead to its version of the routes.

    :ivar deltas: each applies to the version that the one before leads to.
    """

    ip: str
    deltas: tuple[RouteDelta, ...]


class OpeningHeld(msgspec.Struct, frozen=True):
    """There is no room for a new flow: its opening packet waits."""

    segment: Segment
    datagram: bytes


class UnknownTokenMet(msgspec.Struct, frozen=True):
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


StoreEvent = RoutesRead | BackendsRead | RoutesChanged | BackendsChanged | StoreCallFailed
Event = (
    StoreEvent
    | StoreProbed
    | PeersJoined
    | PeerMessageReceived
    | KnowledgeReceived
    | RoutesTold
    | OpeningHeld
    | UnknownTokenMet
    | BackendSuspected
    | BackendChecked
    | TimerFired
    | SettingsChanged
    | StopRequested
)


class ReadSubject(msgspec.Struct, frozen=True):
    """Read everything of a subject from the store.

    :ivar may_be_stale: whether the answer may be some seconds old; it costs less, and
        the watch that follows tells what has changed since.
    """

    subject: Subject
    may_be_stale: bool = False


class WatchSubject(msgspec.Struct, frozen=True):
    """Wait for changes of a subject after a revision.

    :ivar wait_s: how long the store may hold the call.
    """

    subject: Subject
    after: int
    wait_s: float


class ProbeStore(msgspec.Struct, frozen=True):
    """Ask the store for next to nothing, to know whether it answers."""


class CheckBackend(msgspec.Struct, frozen=True):
    """Try to reach a back end.

    :ivar control: another back end, to be reached meanwhile; None where there is none.
    """

    name: str
    endpoint: Endpoint
    control: Endpoint | None


class SendToPeer(msgspec.Struct, frozen=True):
    """Send a datagram to another balancer."""

    ip: str
    message: PeerMessage


class FetchKnowledge(msgspec.Struct, frozen=True):
    """Ask a peer for all it knows."""

    ip: str


class FetchRoutes(msgspec.Struct, frozen=True):
    """Ask a peer for the differences since a version of the routes, however large."""

    ip: str
    version: int


class ForwardHeld(msgspec.Struct, frozen=True):
    """Decide again on packets that waited for a token."""

    datagrams: tuple[bytes, ...]


class CompleteStop(msgspec.Struct, frozen=True):
    """The process may end now."""


class LogKind(enum.Enum):
    """Kinds of change that are logged; see docs/OPERATIONS.md."""

    STARTED = "started"
    READY = "ready"
    STOPPING = "stopping"
    STOPPED = "stopped"
    STALLED = "stalled"
    STORE_LOST = "store_lost"
    STORE_REGAINED = "store_regained"
    ROUTES_IN_FORCE = "routes_in_force"
    BACKEND_CHANGED = "backend_changed"
    BACKEND_CHECKED = "backend_checked"
    FLOW_PLACED = "flow_placed"
    FLOW_WAITS = "flow_waits"
    REQUEST_SEEN = "request_seen"
    PACKET_REFUSED = "packet_refused"
    TOKEN_LOOKED_UP = "token_looked_up"
    TOKEN_FOUND = "token_found"
    BEHIND_PEER = "behind_peer"
    KNOWLEDGE_TAKEN = "knowledge_taken"
    ROLE_CHANGED = "role_changed"
    SETTINGS_CHANGED = "settings_changed"


class WriteLog(msgspec.Struct, frozen=True):
    """Write one line.

    :ivar subject: what it is about.
    :ivar detail: the inputs that decided, with age or version.
    """

    kind: LogKind
    subject: str
    detail: str = ""


Command = (
    ReadSubject
    | WatchSubject
    | ProbeStore
    | CheckBackend
    | SendToPeer
    | FetchKnowledge
    | FetchRoutes
    | ForwardHeld
    | CompleteStop
    | WriteLog
)

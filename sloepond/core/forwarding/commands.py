"""Commands of the forwarding node: what is to be done."""

from __future__ import annotations

import enum

import msgspec

from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.peers.messages import PeerMessage
from sloepond.core.forwarding.state.backend_records import Endpoint


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


class FetchSnapshot(msgspec.Struct, frozen=True):
    """Ask a peer for all it knows."""

    ip: str


class FetchRoutes(msgspec.Struct, frozen=True):
    """Ask a peer for the differences since a version of the routes, however large."""

    ip: str
    version: int


class ForwardHeld(msgspec.Struct, frozen=True):
    """Decide again on packets that waited for a token."""

    datagrams: tuple[bytes, ...]


class ResetFlows(msgspec.Struct, frozen=True):
    """Reset flows whose back end is gone.

    :ivar segments: an empty packet of each flow's caller.
    """

    segments: tuple[Segment, ...]


class CompleteStop(msgspec.Struct, frozen=True):
    """The process may end now."""


class LogKind(enum.Enum):
    """Kinds of change that are logged; see docs/OPERATIONS.md."""

    STARTED = "started"
    READY = "ready"
    STOPPING = "stopping"
    STOP_COMPLETED = "stop_completed"
    STOPPED = "stopped"
    STALLED = "stalled"
    STORE_LOST = "store_lost"
    STORE_CALL_FAILED = "store_call_failed"
    STORE_REGAINED = "store_regained"
    ROUTES_IN_FORCE = "routes_in_force"
    HALLS_EVACUATED = "zones_evacuated"
    BACKEND_CHANGED = "backend_changed"
    BACKEND_PASSED_OVER = "backend_passed_over"
    BACKEND_CHECKED = "backend_checked"
    FLOW_PLACED = "flow_placed"
    FLOW_WAITS = "flow_waits"
    REQUEST_SEEN = "request_seen"
    PACKET_REFUSED = "packet_refused"
    TOKEN_LOOKED_UP = "token_looked_up"
    TOKEN_FOUND = "token_found"
    BEHIND_PEER = "behind_peer"
    KNOWLEDGE_OLD = "knowledge_old"
    LIST_DIFFERS = "list_differs"
    CHANGE_MISSED = "change_missed"
    KNOWLEDGE_TAKEN = "knowledge_taken"
    FETCH_FAILED = "fetch_failed"
    ROLE_CHANGED = "role_changed"
    SETTINGS_CHANGED = "settings_changed"
    CHECK_FAILED = "check_failed"
    SETTING_IGNORED = "setting_ignored"
    METRICS_NOT_SERVED = "metrics_not_served"
    RECEIVE_FAILED = "receive_failed"
    SEND_FAILED = "send_failed"


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
    | FetchSnapshot
    | FetchRoutes
    | ForwardHeld
    | ResetFlows
    | CompleteStop
    | WriteLog
)

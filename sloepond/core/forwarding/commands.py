"""Commands of the forwarding node: actions that the runtime carries out for it.

Owns: the commands, the kinds of log line, and the outbox in which a part collects its commands.  Relies on:
the node to drain the outboxes after each event, the runtime to carry out the commands in order.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

import msgspec

from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.peers.messages import PeerMessage
from sloepond.core.forwarding.state.backend_records import Endpoint


class ReadSubject(msgspec.Struct, frozen=True):
    """Read everything of a subject from the store.

    :ivar may_be_stale: whether the answer may be some seconds old; such a read costs less, and a later
        watch, read or confirmation brings what has changed since.
    """

    subject: Subject
    may_be_stale: bool = False


class WatchSubject(msgspec.Struct, frozen=True):
    """Watch a subject for changes after a revision.

    :ivar after: revision of the store up to which changes are known.
    :ivar timeout_s: seconds for which the store may hold the call open.
    :ivar generation: number of watches of the subject that were given up before this one.
    """

    subject: Subject
    after: int
    timeout_s: float
    generation: int = 0


class VerifySubject(msgspec.Struct, frozen=True):
    """Ask for the changes of a subject after a revision, without waiting: a watch may have lost its answer.

    :ivar after: revision of the store up to which changes are known.
    """

    subject: Subject
    after: int


class ProbeStore(msgspec.Struct, frozen=True):
    """Make a minimal read, to find out whether the store answers, and its current revision."""


class CheckBackend(msgspec.Struct, frozen=True):
    """Check whether connections to a back end can be opened.

    :ivar control: another back end to connect to at the same time, which shows whether this balancer's own
        link works; None if there is none.
    """

    name: str
    endpoint: Endpoint
    control: Endpoint | None


class SendToPeer(msgspec.Struct, frozen=True):
    """Send a datagram to another balancer."""

    ip: str
    message: PeerMessage


class FetchSnapshot(msgspec.Struct, frozen=True):
    """Request a snapshot from a peer over a stream."""

    ip: str


class FetchRoutes(msgspec.Struct, frozen=True):
    """Request the differences since a version of the routes from a peer over a stream, of any size."""

    ip: str
    version: int


class ReprocessPackets(msgspec.Struct, frozen=True):
    """Decide again on packets buffered for a token lookup, and on queued opening packets."""

    datagrams: tuple[bytes, ...]


class ResetFlows(msgspec.Struct, frozen=True):
    """Reset flows whose back end is gone.

    :ivar segments: header of an empty packet of each flow, as its caller would send it.
    """

    segments: tuple[Segment, ...]


class CompleteStop(msgspec.Struct, frozen=True):
    """The process may end now."""


class LogKind(enum.Enum):
    """Kinds of log line; see docs/OPERATIONS.md."""

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
    BACKEND_UNREADABLE = "backend_unreadable"
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
    """Write one log line.

    :ivar subject: the item that the line is about.
    :ivar detail: the inputs of the decision as `name=value`, with age or version.
    """

    kind: LogKind
    subject: str
    detail: str = ""


StoreCommand = ReadSubject | WatchSubject | VerifySubject | ProbeStore
"""Commands to call the store."""

Command = (
    StoreCommand
    | CheckBackend
    | SendToPeer
    | FetchSnapshot
    | FetchRoutes
    | ReprocessPackets
    | ResetFlows
    | CompleteStop
    | WriteLog
)


class Outbox:
    """Commands of one part in the order in which they were issued.

    Each part has its own outbox, because the node drains them in a fixed order.
    """

    def __init__(self, counters: ForwardingCounters) -> None:
        self._counters = counters
        self._commands: list[Command] = []

    def add(self, command: Command) -> None:
        """Append a command."""
        self._commands.append(command)

    def send(self, ips: Sequence[str], message: PeerMessage) -> None:
        """Send a message to each of some peers, and count the datagrams."""
        self._counters.peer_messages_sent += len(ips)
        self._commands.extend(SendToPeer(ip, message) for ip in ips)

    def log(self, kind: LogKind, subject: str, detail: str) -> None:
        """Write a log line; see `WriteLog`."""
        self._commands.append(WriteLog(kind, subject, detail))

    def drain(self) -> list[Command]:
        """Return and clear the commands issued since the last call."""
        commands, self._commands = self._commands, []
        return commands

"""Failure detection: what each peer's heartbeats tell, and for how long it is silent.

A peer counts as in contact while its heartbeats arrive and echo stamps of this
member, so that a link that works in one direction only is noticed by both ends.
"""

from __future__ import annotations

import dataclasses

from sloepond.core.commands import TransitionKind
from sloepond.core.context import NEVER, NodeContext
from sloepond.core.membership.pacing import HeartbeatPace
from sloepond.core.messages import Heartbeat, Member, MemberState

ECHO_NONE = -1
"""Echo of a sender that has no stamp of the receiver yet."""

ECHO_WITHHELD = -2
"""Echo of a sender that has accepted a later view and supports no lease."""

ECHO_ALLOWANCE_INTERVALS = 2.0
"""Rounds by which an echo may be older than the heartbeat that carries it."""

RESEND_AFTER_MS = 100
"""Age from which a heartbeat that its receiver did not echo counts as lost."""

MILLISECONDS = 1_000


@dataclasses.dataclass(slots=True)
class PeerRecord:
    """What is known of one peer in the present view.

    :ivar last_heard: local time of its last heartbeat, or of its admission.
    :ivar last_echo: local time of the newest own stamp it echoed.
    :ivar stamp_ms: its newest stamp, `ECHO_NONE` before the first.
    :ivar sent_ms: stamp of the last heartbeat sent to it.
    :ivar resent: whether one was sent again since the last round.
    :ivar greeted: whether it was sent an echo since the view changed.
    """

    member: Member
    last_heard: float
    last_echo: float
    stamp_ms: int = ECHO_NONE
    state: MemberState = MemberState.ACTIVE
    epoch: int = 0
    generation: int = 0
    digest: str = ""
    flows: int = 0
    suspected: bool = False
    sent_ms: int = ECHO_NONE
    resent: bool = False
    greeted: bool = False


class FailureDetector:
    """Records of all other members of the view."""

    def __init__(self, context: NodeContext, pace: HeartbeatPace) -> None:
        self._context = context
        self._pace = pace
        self._deadline = NEVER
        self.records: dict[str, PeerRecord] = {}

    def view_changed(self, peers: list[Member], pace: HeartbeatPace) -> None:
        """Keep the records of `peers`; new ones are given time to be heard."""
        self._pace = pace
        former = self.records
        self.records = {}
        for member in peers:
            record = former.get(member.name)
            if record is None or record.member != member:
                now = self._context.now
                record = PeerRecord(member, last_heard=now, last_echo=now)
            record.greeted = False
            self.records[member.name] = record
        self._plan_check()

    def record_of(self, name: str, incarnation: int) -> PeerRecord | None:
        """Return the record of exactly this incarnation, or None."""
        record = self.records.get(name)
        if record is None or record.member.incarnation != incarnation:
            return None
        return record

    def heard(self, record: PeerRecord, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat; one that was overtaken only proves life."""
        now = self._context.now
        record.last_heard = now
        if heartbeat.echo_ms >= 0:
            record.last_echo = max(record.last_echo, heartbeat.echo_ms / MILLISECONDS)
        elif heartbeat.echo_ms == ECHO_WITHHELD:
            record.last_echo = now
        if heartbeat.stamp_ms >= record.stamp_ms:
            _copy_content(record, heartbeat)
        if record.suspected and not self._is_silent(record, self._pace.suspect_after_s):
            self._recover(record)
            self._plan_check()

    def has_missed_last(self, record: PeerRecord, echo_ms: int) -> bool:
        """Return whether the peer's echo shows that the last heartbeat to it was lost."""
        if record.resent or echo_ms == ECHO_WITHHELD:
            return False
        sent_long_ago = self._context.now * MILLISECONDS > record.sent_ms + RESEND_AFTER_MS
        return sent_long_ago and echo_ms < record.sent_ms

    def sign_of_life(self, name: str, incarnation: int) -> None:
        """Take any authenticated message of a peer as proof of life."""
        record = self.record_of(name, incarnation)
        if record is not None:
            record.last_heard = self._context.now

    def check(self) -> None:
        """Suspect peers that have been silent for too long."""
        for record in self.records.values():
            if not record.suspected and self._is_silent(record, self._pace.suspect_after_s):
                self._suspect(record)
        self._plan_check()

    def forgive_silence(self) -> None:
        """Start all silences anew, after this process itself was asleep."""
        for record in self.records.values():
            record.last_heard = self._context.now
            record.last_echo = self._context.now
            if record.suspected:
                self._recover(record)
        self._plan_check()

    def is_heard(self, name: str) -> bool:
        """Return whether the peer is in contact, judged by the present time."""
        record = self.records.get(name)
        return record is not None and not self._is_silent(record, self._pace.suspect_after_s)

    def silent_peers(self) -> frozenset[str]:
        """Return names of peers that have been silent long enough to be evicted."""
        limit = self._pace.evict_after_s
        return frozenset(name for name, record in self.records.items() if self._is_silent(record, limit))

    def leaving_peers(self) -> frozenset[str]:
        """Return names of peers that announced they are leaving."""
        leaving = MemberState.LEAVING
        return frozenset(name for name, record in self.records.items() if record.state is leaving)

    def next_deadline(self) -> float:
        """Return when `check` is next to be called; that may turn out too early."""
        return self._deadline

    def _plan_check(self) -> None:
        """Find when the next peer becomes suspected or due for eviction."""
        now = self._context.now
        deadline = NEVER
        for record in self.records.values():
            contact = self._contact(record)
            suspicion = contact + self._pace.suspect_after_s
            eviction = contact + self._pace.evict_after_s
            if not record.suspected:
                deadline = min(deadline, suspicion)
            elif eviction > now:
                deadline = min(deadline, eviction)
        self._deadline = deadline

    def _contact(self, record: PeerRecord) -> float:
        allowance = ECHO_ALLOWANCE_INTERVALS * self._pace.interval_s
        return min(record.last_heard, record.last_echo + allowance)

    def _is_silent(self, record: PeerRecord, limit_s: float) -> bool:
        return self._context.now >= self._contact(record) + limit_s

    def _suspect(self, record: PeerRecord) -> None:
        record.suspected = True
        self._context.counters.members_suspected += 1
        silence = self._context.now - self._contact(record)
        detail = f"no contact for {silence:.1f} s"
        self._context.record_transition(TransitionKind.MEMBER_SUSPECTED, record.member.name, detail)

    def _recover(self, record: PeerRecord) -> None:
        record.suspected = False
        self._context.record_transition(TransitionKind.MEMBER_RECOVERED, record.member.name, "in contact")


def _copy_content(record: PeerRecord, heartbeat: Heartbeat) -> None:
    record.stamp_ms = heartbeat.stamp_ms
    record.state = heartbeat.state
    record.epoch = heartbeat.epoch
    record.generation = heartbeat.generation
    record.digest = heartbeat.digest
    record.flows = heartbeat.flows

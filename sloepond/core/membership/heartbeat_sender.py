"""Sending heartbeats: in rounds to all peers, and single ones where needed."""

from __future__ import annotations

from typing import Protocol

import msgspec

from sloepond.core.context import NEVER, NodeContext
from sloepond.core.membership.cell_state import CellState
from sloepond.core.membership.heartbeats import (
    ECHO_NONE,
    ECHO_WITHHELD,
    MILLISECONDS,
    FailureDetector,
    PeerRecord,
)
from sloepond.core.messages import Heartbeat, LoadSample

OUTSIDER_INTERVAL_S = 1.0
"""Time between heartbeats of a member that has left the view."""

JITTER = 0.1
"""Share by which the time between rounds varies."""


class HeartbeatContent(msgspec.Struct, frozen=True):
    """What heartbeats carry for other components.

    :ivar generation: configuration generation in force.
    :ivar digest: first 8 hexadecimal digits of its digest.
    :ivar flows: open flows this balancer is primary for.
    :ivar loads: probe results to pass on; cut to what the cell's pace permits.
    """

    generation: int
    digest: str
    flows: int
    loads: tuple[LoadSample, ...]


class HeartbeatSource(Protocol):
    """Where heartbeats get their content from."""

    def heartbeat_content(self) -> HeartbeatContent:
        """Return the content of the next round of heartbeats."""


class HeartbeatSender:
    """Sends this balancer's heartbeats.

    A member sends rounds to all its peers.  One that has left sends a heartbeat
    to one member now and then, and so learns of later views.
    """

    def __init__(
        self, context: NodeContext, cell: CellState, detector: FailureDetector, source: HeartbeatSource
    ) -> None:
        self._context = context
        self._cell = cell
        self._detector = detector
        self._source = source
        self._due = NEVER

    def next_deadline(self) -> float:
        """Return when the next round is due."""
        return self._due

    def on_time(self) -> None:
        """Send what is due."""
        if self._context.now < self._due:
            return
        if self._cell.is_member:
            self.send_round()
            return
        self._send_as_outsider()

    def become_outsider(self) -> None:
        """Send heartbeats of a member that has left."""
        self._due = self._context.now + OUTSIDER_INTERVAL_S

    def stop(self) -> None:
        """Send none until the next view is entered."""
        self._due = NEVER

    def send_round(self) -> None:
        """Send a heartbeat to every peer."""
        content = self._content()
        for record in self._detector.records.values():
            record.resent = False
            self._send(record, content)
        jitter = self._context.random.uniform(1.0 - JITTER, 1.0 + JITTER)
        self._due = self._context.now + self._cell.pace.interval_s * jitter

    def answer_if_needed(self, record: PeerRecord, heartbeat: Heartbeat) -> None:
        """Send a heartbeat at once to a peer that got no echo yet, or missed the last."""
        if heartbeat.epoch != self._cell.view.epoch:
            return
        if self._detector.has_missed_last(record, heartbeat.echo_ms):
            record.resent = True
            self._send(record, self._content())
        elif not record.greeted:
            self._send(record, self._content())

    def ask(self, address: str) -> None:
        """Let a balancer that knows a later view see that this one does not."""
        heartbeat = self._heartbeat(ECHO_NONE, self._content())
        self._context.counters.heartbeats_sent += 1
        self._context.send_to_peer(address, heartbeat)

    def _send_as_outsider(self) -> None:
        self._due = self._context.now + OUTSIDER_INTERVAL_S
        if self._cell.view.members:
            self.ask(self._context.random.choice(self._cell.view.members).address)

    def _send(self, record: PeerRecord, content: HeartbeatContent) -> None:
        echo = record.stamp_ms
        if self._cell.accepted_view is not None:
            echo = ECHO_WITHHELD
        heartbeat = self._heartbeat(echo, content)
        record.greeted = record.greeted or echo >= 0
        record.sent_ms = heartbeat.stamp_ms
        self._context.counters.heartbeats_sent += 1
        self._context.send_to_peer(record.member.address, heartbeat)

    def _heartbeat(self, echo_ms: int, content: HeartbeatContent) -> Heartbeat:
        return Heartbeat(
            stamp_ms=int(self._context.now * MILLISECONDS),
            echo_ms=echo_ms,
            epoch=self._cell.view.epoch,
            state=self._cell.state,
            generation=content.generation,
            digest=content.digest,
            flows=content.flows,
            loads=content.loads,
        )

    def _content(self) -> HeartbeatContent:
        content = self._source.heartbeat_content()
        return msgspec.structs.replace(content, loads=content.loads[: self._cell.pace.sample_limit])

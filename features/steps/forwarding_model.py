"""Builders and a node harness for the features of forwarding."""

from __future__ import annotations

import random

from sloepond.core.forwarding.assembly import NodeOptions
from sloepond.core.forwarding.commands import ReadSubject, WatchSubject
from sloepond.core.forwarding.events import (
    BackendsRead,
    PeerMessageReceived,
    PeersReachable,
    RoutesRead,
    Subject,
    TimerFired,
)
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.peers.messages import Changes, Confirmation
from sloepond.core.forwarding.peers.reader_election import (
    CANDIDATE_DELAY_S,
    ROLE_REVIEW_INTERVAL_S,
    START_DELAY_S,
    URGENT_DELAY_S,
    Role,
)
from sloepond.core.forwarding.state.backend_records import BackendRecord, BackendState
from sloepond.core.forwarding.state.routes import Route, RouteConfiguration, Share

STREAM = 1 << 16 | 443
EXPORT = 2 << 16 | 443
MIXED = 3 << 16 | 443
NOWHERE = 9 << 16 | 443
EMPTY = 4 << 16 | 443
PATIENT = 5 << 16 | 443
ROUTES = RouteConfiguration(
    7,
    (
        Route("stream", STREAM, (Share("booking", 1),), priority=2),
        Route("export", EXPORT, (Share("roster", 1),), priority=0),
        Route("mixed", MIXED, (Share("booking", 90), Share("roster", 10))),
        Route("patient", PATIENT, (Share("roster", 1),), priority=5),
        Route("empty", EMPTY, (Share("nobody", 1),)),
    ),
)


def record(number, service="booking", revision=1, state=BackendState.READY, cold_s=0.0, hall="north"):
    """Return a back end; its address depends on its number only."""
    return BackendRecord(
        f"i-{number:08x}",
        number,
        service,
        f"10.0.0.{number % 250 + 1}",
        8000,
        hall,
        2,
        state,
        cold_s,
        revision,
    )


def records():
    """Return five back ends of one service and two of the other."""
    return tuple([record(n) for n in range(1, 6)] + [record(n, "roster") for n in range(6, 8)])


def segment(route=STREAM, port=1000, token=0, opening=False, copies=0, length=0, acknowledgement=1):
    """Return the header of a packet."""
    return Segment(
        source=100 << 24 | 7,
        source_port=port,
        destination=route >> 16,
        destination_port=route & 0xFFFF,
        sequence=1,
        acknowledgement=copies if opening else acknowledgement,
        length=length,
        is_opening=opening,
        is_closing=False,
        is_reset=False,
        token=token,
    )


def version(number):
    """Return routes of a version."""
    return RouteConfiguration(number, ROUTES.routes)


def fresh_node(seed=1, seeds=("10.1.0.2", "10.1.0.3", "10.1.0.4"), **options):
    """Return a node that has not started."""
    options = NodeOptions(ip="10.1.0.1", seeds=seeds, **options)
    return ForwardingNode("north", random.Random(seed), options)


class Harness:
    """A node, its clock and the commands it has returned."""

    def __init__(self, node=None):
        self.node = node or fresh_node()
        self.now = 100.0
        self.commands = []
        self.store_commands(self.node.start(self.now))
        self.handle(PeersReachable())

    def store_commands(self, commands):
        """Store the commands that the node has returned."""
        self.commands.extend(commands)

    def handle(self, event):
        """Pass the node an event at the current time."""
        self.store_commands(self.node.handle(event, self.now))

    def all(self, kind):
        """Return and remove the commands of a kind."""
        found = [command for command in self.commands if isinstance(command, kind)]
        self.commands = [command for command in self.commands if not isinstance(command, kind)]
        return found

    def run_to(self, time, timer):
        """Fire timers until a time."""
        while self.node.next_deadline() <= time:
            self.now = max(self.now, self.node.next_deadline())
            self.handle(timer)
        self.now = time

    def configure(self, routes=ROUTES, backends=None, revision=10):
        """Answer the first reads."""
        self.handle(RoutesRead(revision, routes))
        self.handle(BackendsRead(revision, records() if backends is None else backends))
        return self

    def become_reader(self, revision=10, routes=ROUTES, backends=None):
        """Let the node become a reader, since it receives no confirmation, and answer its reads."""
        maximum_s = START_DELAY_S + URGENT_DELAY_S + CANDIDATE_DELAY_S + 2 * ROLE_REVIEW_INTERVAL_S
        self.run_to(self.now + maximum_s, TimerFired())
        assert self.node.role is Role.READER
        self.commands.clear()
        return self.configure(routes, backends, revision)

    def reads(self, subject):
        """Return and remove the reads of a subject."""
        found = [c for c in self.commands if isinstance(c, ReadSubject) and c.subject is subject]
        self.commands = [c for c in self.commands if c not in found]
        return found

    def watches(self, subject):
        """Return and remove the watches of a subject."""
        found = [c for c in self.commands if isinstance(c, WatchSubject) and c.subject is subject]
        self.commands = [c for c in self.commands if c not in found]
        return found


SUBJECTS = tuple(Subject)


def hear_readers(harness):
    """Let three readers confirm the node's content, so that it stays a follower."""
    changes = Changes(7, None, 10, 10, 0)
    for identity in (11, 12, 13):
        confirmation = Confirmation(identity, 1.0, 1, False, 0.0, changes)
        harness.handle(PeerMessageReceived("10.1.0.3", confirmation))

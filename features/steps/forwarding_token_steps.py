"""Steps on routing tokens."""

from __future__ import annotations

import random

from behave import given, then, when
from forwarding_model import MIXED, STREAM, Harness, fresh_node, record, segment
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.commands import ReprocessPackets, SendToPeer
from sloepond.core.forwarding.events import (
    BackendsRead,
    PeerMessageReceived,
    RoutesRead,
    TimerFired,
    UnknownTokenReceived,
)
from sloepond.core.forwarding.packets import Refusal
from sloepond.core.forwarding.peers.messages import TokenReply, TokenRequest
from sloepond.core.forwarding.state.backend import TOKEN_MASK, token_of
from sloepond.core.forwarding.state.backend_records import BackendState
from sloepond.core.forwarding.state.backends import DEPARTED_RETENTION_S, BackendDirectory

SERVICES = frozenset({"booking", "roster"})
"""Services that the routes name."""
PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=60)
BALANCERS = 3
ADDRESSES = tuple(f"10.0.0.{number}" for number in range(1, 6))


class Fleet:
    """Balancers, each with its own view of back ends that start, leave and are replaced."""

    def __init__(self, source):
        self.source = source
        self.backends = {}
        self.revision = 1
        self.next_number = 1
        self.harnesses = [self.balancer() for _ in range(BALANCERS)]
        self.flows = []
        self.now = 100.0
        for _ in range(4):
            self.start_backend()

    def balancer(self):
        harness = Harness(fresh_node(self.source.randrange(1000)))
        harness.configured = False
        return harness

    def start_backend(self):
        """Start a back end at an address that no live one has; one that has ended may have had it."""
        used = {each.host for each in self.backends.values()}
        free = [host for host in ADDRESSES if host not in used]
        if not free:
            return
        self.revision += 1
        number = self.next_number
        self.next_number += 1
        service = self.source.choice(("booking", "roster"))
        address = self.source.choice(free)
        new = record(number, service, self.revision)
        new = type(new)(
            new.name, number, service, address, 8000, "north", 2, BackendState.READY, 0.0, self.revision
        )
        self.backends[number] = new

    def end_backend(self):
        if len(self.backends) > 1:
            self.revision += 1
            del self.backends[self.source.choice(sorted(self.backends))]

    def update(self):
        """Let one balancer read the current list; the views of the others stay as they are."""
        harness = self.source.choice(self.harnesses)
        harness.now = self.now
        from forwarding_model import ROUTES

        harness.handle(RoutesRead(self.revision, ROUTES))
        harness.handle(BackendsRead(self.revision, tuple(self.backends.values())))

    def restart(self):
        self.harnesses[self.source.randrange(BALANCERS)] = self.balancer()

    def open_flow(self):
        harness = self.source.choice(self.harnesses)
        route = self.source.choice((STREAM, MIXED))
        port = 1000 + len(self.flows)
        opening = segment(route, port, opening=True)
        decision = harness.node.decide(opening, self.now)
        if decision.backend is not None:
            self.flows.append((route, port, decision.backend.number, decision.backend.token))

    def send(self):
        if not self.flows:
            return
        route, port, number, token = self.source.choice(self.flows)
        harness = self.source.choice(self.harnesses)
        decision = harness.node.decide(segment(route, port, token), self.now)
        if decision.backend is not None:
            assert decision.backend.number == number
            assert decision.backend.prefix == number.to_bytes(8, "big")
        elif decision.reset:
            assert decision.refusal is Refusal.UNREACHABLE
            assert number not in self.backends, "a flow of a live back end was reset"
        else:
            assert decision.refusal is Refusal.UNKNOWN_TOKEN

    def step(self, action):
        self.now += 0.05
        actions = (
            self.start_backend,
            self.end_backend,
            self.update,
            self.update,
            self.restart,
            self.open_flow,
            self.open_flow,
            self.send,
            self.send,
            self.send,
        )
        actions[action]()


@then("forwarding property: packets of a flow reach its own back end or none")
def packets_reach_own_backend(context):
    @PROPERTY
    @for_all(st.integers(0, 2**32), st.lists(st.integers(0, 9), min_size=40, max_size=160))
    def check(seed, actions):
        fleet = Fleet(random.Random(seed))
        for action in actions:
            fleet.step(action)

    check()


@then("forwarding property: of two back ends with the same token only the first is given flows")
def one_token_two_backends(context):
    @PROPERTY
    @for_all(st.integers(1, TOKEN_MASK), st.integers(1, TOKEN_MASK))
    def check(number, high):
        other = (high << 32) | (number ^ high)
        directory = BackendDirectory()
        directory.services_named(SERVICES)
        directory.apply_record(record(number), 1.0)
        directory.apply_record(record(other, "roster"), 1.0)
        assert token_of(number) == token_of(other)
        assert [b.number for b in directory.candidates("booking")] == [number]
        assert directory.candidates("roster") == []
        assert directory.by_token(token_of(other)).number == number

    check()


@then("forwarding gives the token to the second when the first is removed")
def token_reassigned(context):
    directory = BackendDirectory()
    directory.services_named(SERVICES)
    first, second = 5, (9 << 32) | (5 ^ 9)
    directory.apply_record(record(first), 1.0)
    directory.apply_record(record(second, "roster"), 1.0)
    directory.mark_departed(record(first).name, 5, 2.0)
    assert directory.candidates("roster") == []
    assert directory.forget_departed(2.0 + DEPARTED_RETENTION_S + 1.0) == 1
    assert [b.number for b in directory.candidates("roster")] == [second]
    assert directory.by_token(token_of(second)).number == second


@then("forwarding property: tokens are never zero and fit into 32 bits")
def tokens_never_zero(context):
    @PROPERTY
    @for_all(st.integers(0, 2**64 - 1))
    def check(number):
        assert 0 < token_of(number) <= TOKEN_MASK

    check()


@given("a forwarding node with routes and back ends")
def configured_node(context):
    context.harness = Harness().configure()


@when("forwarding receives a packet with a token that only a peer knows")
def token_known_to_peer(context):
    context.unknown = record(77, "roster", 3, BackendState.DEPARTED)
    harness = context.harness
    harness.commands.clear()
    decision = harness.node.decide(segment(token=77), harness.now)
    assert decision.lookup and decision.backend is None
    harness.handle(UnknownTokenReceived(77, b"packet"))


@then("forwarding buffers the packet, looks up its token and forwards it when a peer replies")
def packet_buffered(context):
    harness = context.harness
    requests = harness.all(SendToPeer)
    assert [c.message for c in requests] == [TokenRequest(77)] * 3
    assert harness.all(ReprocessPackets) == []
    harness.now += 0.01
    harness.handle(PeerMessageReceived("10.1.0.2", TokenReply(context.unknown, 4.0)))
    assert harness.all(ReprocessPackets) == [ReprocessPackets((b"packet",))]
    assert harness.node.decide(segment(token=77), harness.now).backend.number == 77
    assert harness.node.backends.candidates("roster") != []
    assert 77 not in [b.number for b in harness.node.backends.candidates("roster")]


@when("forwarding receives a packet with a token that no peer knows")
def token_unknown_to_all(context):
    harness = context.harness
    harness.commands.clear()
    harness.handle(UnknownTokenReceived(78, b"packet"))


@then("forwarding drops the packet and does not repeat the lookup within a second")
def packet_dropped(context):
    harness = context.harness
    assert len(harness.all(SendToPeer)) == 3
    harness.run_to(harness.now + 0.2, TimerFired())
    assert harness.node.counters.held_packets_dropped == 1
    harness.handle(UnknownTokenReceived(78, b"copy"))
    assert [c for c in harness.all(SendToPeer) if isinstance(c.message, TokenRequest)] == []
    harness.handle(PeerMessageReceived("10.1.0.2", TokenReply(record(78), 0.0)))
    assert harness.all(ReprocessPackets) == []


@then("forwarding drops a packet without a token")
def no_token(context):
    decision = context.harness.node.decide(segment(token=0), context.harness.now)
    assert decision.refusal is Refusal.NO_TOKEN
    assert not decision.reset and not decision.lookup

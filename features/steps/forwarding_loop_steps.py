"""Steps on the forwarding balancer's event loop."""

from __future__ import annotations

import errno
import os
import pathlib
import socket
import subprocess
import sys
import time

from behave import then, when
from forwarding_loop_model import SimulatedLoop, SimulatedStream
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.runtime.forwarding.event_loop import EventLoop, readable, sleep_until
from sloepond.runtime.forwarding.streams import Acceptor

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=120)
PATIENCE_S = 10.0
REPOSITORY = pathlib.Path(__file__).parents[2]
HEAVY_MODULES = (
    "trio", "h11", "asyncio", "inspect", "dataclasses", "urllib.parse", "logging", "threading",
    "socket", "signal",
)  # fmt: skip
"""Modules that are slow to import: trio, h11 and what they or other modules import."""


@then("loop property: each wait ends when its stream is readable or at its deadline, in the order of time")
def waits_end(context):
    moments = st.integers(0, 40).map(lambda tenths: 100.0 + tenths / 10)
    streams = st.one_of(st.none(), moments)

    @PROPERTY
    @for_all(st.lists(st.tuples(streams, moments), min_size=1, max_size=20))
    def check(waits):
        loop, ended = SimulatedLoop(), []

        async def wait(number, stream_at, deadline):
            timed_out = False
            if stream_at is None:
                await sleep_until(deadline)
            else:
                try:
                    await readable(SimulatedStream([(stream_at, b"x")]), deadline)
                except TimeoutError:
                    timed_out = True
            ended.append((number, loop.clock(), timed_out))

        for number, (stream_at, deadline) in enumerate(waits):
            loop.start(wait(number, stream_at, deadline))
        while len(ended) < len(waits):
            loop.run_once()
        for number, at, timed_out in ended:
            stream_at, deadline = waits[number]
            assert at == min(deadline, deadline if stream_at is None else stream_at)
            assert not timed_out or stream_at >= deadline
            assert timed_out or stream_at is None or stream_at <= deadline
        assert [at for _, at, _ in ended] == sorted(at for _, at, _ in ended)
        assert not loop.simulated.keys

    check()


@when("an event loop watches a socket that is sent three datagrams")
def watches(context):
    context.received = []
    loop = EventLoop()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver, sender() as source:
        receiver.bind(("127.0.0.1", 0))
        receiver.setblocking(False)

        def receive():
            context.received.append(receiver.recv(100))
            if len(context.received) == 3:
                loop.stop()

        loop.watch(receiver, receive)
        for number in range(3):
            source.sendto(bytes([number]), receiver.getsockname())
        loop.run()


def sender():
    """Return a socket that sends datagrams."""
    return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)


@then("the event loop has called back until all three were read")
def all_read(context):
    assert context.received == [bytes([number]) for number in range(3)]


@when("an event loop follows a deadline that moves by 0.3 seconds each time")
def follows(context):
    loop, context.called = SimulatedLoop(), []
    context.begins_at = loop.clock()

    def deadline():
        return context.begins_at + 0.3 * (1 + len(context.called))

    loop.follow_deadline(deadline, lambda: context.called.append(loop.clock()))
    while len(context.called) < 5:
        loop.run_once()


@then("the event loop has called at each of the deadlines")
def called_each(context):
    expected = [context.begins_at + 0.3 * number for number in range(1, 6)]
    assert all(abs(at - due) < 1e-6 for at, due in zip(context.called, expected, strict=True))


@when("a coroutine of an event loop fails while another one waits")
def fails(context):
    context.closed = []

    async def wait():
        try:
            await sleep_until(time.monotonic() + 1e6)
        finally:
            context.closed.append("waiting one")

    async def fail():
        raise KeyError("of the test")

    loop = EventLoop()
    loop.start(wait())
    loop.start(fail())
    try:
        loop.run()
    except KeyError as error:
        context.error = error


@then("the event loop has ended with that error and the other coroutine is closed")
def ended_with(context):
    assert context.error.args == ("of the test",)
    assert context.closed == ["waiting one"]


@when("3 connections reach an event loop that serves 2 at once")
def connections_come(context):
    context.loop, context.counters = EventLoop(), ForwardingCounters()
    context.listener = socket.create_server(("127.0.0.1", 0))
    context.listener.setblocking(False)
    context.add_cleanup(context.listener.close)
    context.served = context.ended = 0

    async def serve(stream):
        context.served += 1
        await readable(stream, context.loop.clock() + PATIENCE_S)
        context.ended += 1

    Acceptor(context.loop, context.listener, serve, 2, context.counters)
    context.clients = [connected(context) for _ in range(3)]
    run_until(context, lambda: context.counters.connections_turned_away and context.served == 2)


def connected(context):
    """Return a connection to the listener of the scenario."""
    client = socket.create_connection(context.listener.getsockname(), PATIENCE_S)
    context.add_cleanup(client.close)
    return client


def run_until(context, condition):
    """Run the loop of the scenario until a condition holds."""
    end = time.monotonic() + PATIENCE_S
    context.loop.follow_deadline(lambda: context.loop.clock() + 0.01, lambda: None)
    while not condition():
        assert time.monotonic() < end, "the condition did not become true in time"
        context.loop.run_once()


@then("the event loop has closed the third one and counted it")
def closed_third(context):
    assert context.clients[2].recv(1) == b""
    assert context.counters.connections_turned_away == 1


@then("the event loop serves another one after the first has ended")
def serves_another(context):
    context.clients[0].close()
    assert context.served == 2
    run_until(context, lambda: context.ended == 1)
    connected(context)
    run_until(context, lambda: context.served == 3)


class FullListener(SimulatedStream):
    """A listener whose connection cannot be accepted until descriptors are available."""

    def __init__(self, available_at, clock):
        super().__init__()
        self.available_at = available_at
        self.clock = clock
        self.attempts = 0
        self.accepted = 0

    @property
    def readable_at(self):
        """The listener is readable until the connection is accepted."""
        return float("inf") if self.accepted else 0.0

    def accept(self):
        """Accept a connection that closes at once, or fail for lack of descriptors."""
        if self.accepted:
            raise BlockingIOError
        self.attempts += 1
        if self.clock() < self.available_at:
            raise OSError(errno.EMFILE, "too many open files")
        self.accepted += 1
        return socket.socketpair()[0], None


@when("an event loop cannot accept for a second")
def cannot_accept(context):
    loop = SimulatedLoop()
    listener = FullListener(loop.clock() + 1.0, loop.clock)

    async def serve(stream):
        stream.close()

    context.counters = ForwardingCounters()
    Acceptor(loop, listener, serve, 2, context.counters)
    for _ in range(200):
        if listener.accepted:
            break
        loop.run_once()
    context.listener = listener


@then("the event loop has attempted at most 25 accepts, and accepts again once it can")
def attempted_few(context):
    assert context.listener.accepted == 1
    assert context.listener.attempts <= 25
    assert context.counters.accepts_failed == context.listener.attempts - 1


@then("the balancer on the platform imports neither trio nor h11 nor another slow module")
def imports_no_slow_module(context):
    loaded = modules_after("sloepond.platform.balancer")
    assert "sloepond.runtime.forwarding.service" in loaded
    assert not loaded.intersection(HEAVY_MODULES), loaded.intersection(HEAVY_MODULES)


@then("the balancer on the platform imports almost nothing before it binds its sockets")
def binds_first(context):
    loaded = modules_after("sloepond.platform.settings, sloepond.runtime.forwarding.binding")
    heavy = (*HEAVY_MODULES, "msgspec", "typing", "re", "random", "json", "enum", "socket")
    assert "_socket" in loaded
    assert not loaded.intersection(heavy), loaded.intersection(heavy)


def modules_after(names):
    """Return the modules that are loaded after an import of the named ones."""
    # The platform's build has no typing_extensions, which msgspec would import.
    program = f"import sys; sys.modules['typing_extensions'] = None; import {names}; print(*sys.modules)"
    paths = os.pathsep.join([str(REPOSITORY), *filter(None, sys.path)])
    run = subprocess.run(
        [sys.executable, "-S", "-c", program],
        env={"PYTHONPATH": paths},
        capture_output=True,
        text=True,
        check=True,
    )
    return set(run.stdout.split())

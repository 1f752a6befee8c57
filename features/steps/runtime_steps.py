"""Steps on the daemon's sockets, peers and platform client."""

from __future__ import annotations

import msgspec
import trio
import trio.testing
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from runtime_daemon import (
    FAIL,
    PROPERTY,
    SECRET,
    RunningDaemon,
    free_addresses,
)
from runtime_peer import OFFER, REQUEST, Peer

from sloepond.core import commands, events, messages
from sloepond.resources.content import make_snapshot
from sloepond.resources.model import API_VERSION, ConfigurationSnapshot, Location, Metadata, Region
from sloepond.runtime.peer_outbox import PeerOutbox
from sloepond.runtime.platform_client import ReadFailure, decode_configuration
from sloepond.runtime.traffic import TrafficClass, TrafficMeter
from sloepond.standins.platform import ModeRequest, PlatformMode, PlatformState, run_platform
from sloepond.wire.authentication import Authenticator, Key, KeyRing
from sloepond.wire.codec import decode_bundle, encode_message

EARLIER_HEARTBEAT = msgspec.msgpack.encode([1, 1, -1, 0, 1, 0, "", 0, []])
"""A heartbeat (tag 1) in the format of an earlier version."""


@given("a runtime daemon with an echo node")
def step_daemon(context):
    context.running = RunningDaemon()


@when("a runtime caller sends a packet")
def step_send_packet(context):
    async def action(running):
        context.echoed = await running.echo(b"hello")

    context.running.run(action)


@then("the runtime caller receives its echo")
def step_echoed(context):
    assert context.echoed == b"hello"


@then("the runtime daemon still echoes")
def step_still_echoes(context):
    assert context.echoed == b"after"


@when("the runtime sockets receive malformed, oversized and unauthenticated datagrams")
def step_bad_datagrams(context):
    async def action(running):
        running.send("edge_address", b"\xc1")
        running.send("backend_address", b"\xc1")
        running.send("edge_address", bytes(9_000))
        running.send("peer_address", b"\x01" + bytes(80))
        counters = running.node.counters
        await running.until(lambda: counters.input_malformed == 2)
        await running.until(lambda: counters.input_oversized and counters.input_unauthenticated)
        context.echoed = await running.echo(b"after")

    context.running.run(action)


@then("the runtime daemon counted them by kind")
def step_counted(context):
    counters = context.running.node.counters
    found = (counters.input_malformed, counters.input_oversized, counters.input_unauthenticated)
    assert found == (2, 1, 1), found


@when("a runtime packet makes the node fail twice")
def step_fail(context):
    async def action(running):
        for _ in range(2):
            await running.echo(FAIL)
        await running.until(lambda: running.node.counters.handler_failures == 2)
        context.echoed = await running.echo(b"after")

    context.running.run(action)


@then("the runtime daemon counted 2 handler failures and logged 1")
def step_failures(context):
    assert context.running.node.counters.handler_failures == 2
    logged = [record for record in context.running.log.records if record.exc_info]
    assert len(logged) == 1 and "made to fail" in logged[0].formatted_exception


@when("a runtime peer sends an offer, a request and a replay")
def step_peer_messages(context):
    async def action(running):
        with Peer(running) as peer:
            context.sizes = [peer.send(OFFER, copies=2), peer.send(REQUEST)]
            await running.until(lambda: len(running.node.events) == 2)

    context.running.run(action)


@then("the runtime node received both messages once")
def step_peer_messages_received(context):
    received = context.running.node.recorded(events.PeerMessageReceived)
    assert [event.message for event in received] == [OFFER, REQUEST], received
    assert {event.sender for event in received} == {"b2"}
    assert context.running.node.counters.input_replayed == 1


@then("the runtime traffic counted both as control")
def step_traffic(context):
    totals = context.running.daemon.traffic.totals
    found = [totals[item].received_bytes for item in TrafficClass]
    assert found == [sum(context.sizes), 0, 0], found
    assert totals[TrafficClass.CONTROL].datagrams == 2


@when("a runtime peer of an earlier version sends a heartbeat, alone and together with an offer")
def step_earlier_version(context):
    async def action(running):
        with Peer(running) as peer:
            peer.send_encoded([EARLIER_HEARTBEAT])
            peer.send_encoded([encode_message(OFFER), EARLIER_HEARTBEAT])
            await running.until(lambda: running.node.counters.input_malformed == 2)
            peer.send(OFFER)
            await running.until(lambda: running.node.events)
        context.echoed = await running.echo(b"after")

    context.running.run(action)


@then("the runtime node received only the message of this version")
def step_one_message(context):
    received = context.running.node.recorded(events.PeerMessageReceived)
    assert [event.message for event in received] == [OFFER], received
    assert context.running.node.counters.input_malformed == 2


class Sink:
    """A socket that records the sent datagrams."""

    def __init__(self):
        self.sent = []

    def send(self, datagram, address):
        self.sent.append((datagram, address))


@when("a runtime node sends 40 messages of 100 bytes to each of two peers")
def step_outbox(context):
    context.sink = Sink()
    identity = messages.Member("b1", 1, "10.0.0.1:7000", Location("r", "z", "h"))
    sealing = Authenticator(KeyRing((Key(1, bytes.fromhex(SECRET)),)), "b1", 1, identity.address)
    outbox = PeerOutbox(context.sink, sealing, TrafficMeter())
    for number in range(40):
        for address in ("10.0.0.2:7000", "10.0.0.3:7000"):
            outbox.add(address, messages.ConfigurationPart(number, "d" * 8, 0, 0, 1, bytes(86)))
    outbox.flush()


@then("the runtime peers receive them in order, in 4 datagrams each")
def step_outbox_sent(context):
    for host in ("10.0.0.2", "10.0.0.3"):
        ring = KeyRing((Key(1, bytes.fromhex(SECRET)),))
        peer = Authenticator(ring, "b9", 1, f"{host}:7000")
        datagrams = [datagram for datagram, address in context.sink.sent if address == (host, 7000)]
        bundles = [decode_bundle(peer.open(datagram, "10.0.0.1:7000").body) for datagram in datagrams]
        assert [message.generation for bundle in bundles for message in bundle] == list(range(40))
        assert len(datagrams) == 4 and max(map(len, datagrams)) <= 1_400, list(map(len, datagrams))


@given("a runtime daemon with a stand-in platform")
def step_platform(context):
    context.platform = PlatformState()
    context.running = RunningDaemon(extra="[platform]\nurl = 'http://{}'\n".format(*free_addresses(1)))


@when("the runtime platform receives a configuration and then goes down")
def step_platform_actions(context):
    def read(known_generation):
        context.running.daemon.pipeline.dispatcher.carry_out([commands.ReadConfiguration(known_generation)])

    async def action(running):
        address = running.settings.platform.url.removeprefix("http://")
        async with trio.open_nursery() as nursery:
            await nursery.start(run_platform, address, context.platform)
            context.platform.write((Region(API_VERSION, Metadata("accra")),), None)
            for number, known_generation in enumerate((0, 1, 1), start=1):
                if number == 3:
                    context.platform.set_mode(ModeRequest(PlatformMode.DOWN))
                read(known_generation)
                await running.until(lambda number=number: len(running.node.events) == number)
            nursery.cancel_scope.cancel()

    context.running.run(action)


@then("the runtime node received the configuration, that it is unchanged, and the failure")
def step_platform_events(context):
    read, unchanged, failed = context.running.node.events
    assert read.snapshot == context.platform.latest
    assert unchanged == events.ConfigurationReadUnchanged()
    assert failed == events.ConfigurationReadFailed("status 503")


@when("runtime configuration responses of arbitrary content are checked")
def step_arbitrary_answers(context):
    context.answers = []
    valid = msgspec.json.encode(make_snapshot(1, [Region(API_VERSION, Metadata("accra"))]))

    @PROPERTY
    @for_all(st.binary(max_size=50), st.integers(0, len(valid)), st.integers(0, 9))
    def decode(inserted, position, cut):
        body = valid[:position] + inserted + valid[position + cut :]
        context.answers.append((body == valid, decode_configuration(body)))

    decode()


@then("each runtime response was a snapshot or refused with a reason")
def step_answers(context):
    refused = [answer for _, answer in context.answers if isinstance(answer, ReadFailure)]
    assert refused and all(answer.reason for answer in refused)
    accepted = [answer for _, answer in context.answers if not isinstance(answer, ReadFailure)]
    assert all(isinstance(answer, ConfigurationSnapshot) for answer in accepted)

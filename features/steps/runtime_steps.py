"""Steps on the daemon: settings, sockets, signals, probes and the platform's client."""

from __future__ import annotations

import contextlib
import os
import pathlib
import signal
import socket
import tempfile
import tomllib

import logbook
import msgspec
import trio
import trio.testing
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core import commands, events, messages, packets
from sloepond.core.context import NEVER
from sloepond.core.counters import Counters
from sloepond.core.settings import NodeSettings
from sloepond.lab.bench.bare_loop import BareLoop
from sloepond.lab.bench.memory import measure_memory
from sloepond.resources.compiled import make_snapshot
from sloepond.resources.model import API_VERSION, ConfigurationSnapshot, Location, Metadata, Region
from sloepond.runtime.daemon import BalancerDaemon
from sloepond.runtime.deadline_task import DeadlineTask
from sloepond.runtime.logs import create_log_handler
from sloepond.runtime.peer_outbox import PeerOutbox
from sloepond.runtime.platform_client import ReadFailure, decode_configuration
from sloepond.runtime.probing import KeepaliveProbeDriver
from sloepond.runtime.reloading import SettingsReloader
from sloepond.runtime.settings import BalancerSettings, LogSettings
from sloepond.runtime.settings_file import SettingsOverride, check_settings
from sloepond.runtime.signals import SignalTask
from sloepond.runtime.traffic import TrafficClass, TrafficMeter
from sloepond.standins.platform import ModeRequest, PlatformMode, PlatformState, run_platform
from sloepond.wire.authentication import Authenticator, Key, KeyRing
from sloepond.wire.codec import decode_bundle, encode_bundle, encode_message
from sloepond.wire.edge import decode_caller_reply, encode_packet

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=80)
WAIT_S = 10.0
SECRET = "00112233445566778899aabbccddeeff"
NEW_SECRET = "ff" * 16
FAIL = b"fail"
TEMPLATE = """
name = "b1"
edge_address = "{0}"
backend_address = "{1}"
peer_address = "{2}"
[location]
region = "r"
zone = "z"
hall = "h"
[[keys]]
id = 1
secret = "{secret}"
"""


class EchoNode:
    """Echoes callers' packets and notes all other events."""

    def __init__(self, identity):
        self.identity = identity
        self.counters = Counters()
        self.events = []
        self.completes_stop = True

    def start(self, now):
        return []

    def handle(self, event, now):
        self.events.append(event)
        if isinstance(event, events.StopRequested):
            return [commands.CompleteStop()] if self.completes_stop else []
        if not isinstance(event, events.CallerPacketReceived):
            return []
        if event.packet.payload == FAIL:
            raise RuntimeError("made to fail")
        reply = packets.CallerReply(
            packets.CallerReplyKind.ANSWER, event.packet.flow, payload=event.packet.payload
        )
        return [commands.SendToCaller(reply)]

    def next_deadline(self):
        return NEVER

    def noted(self, event_type):
        return [event for event in self.events if isinstance(event, event_type)]


def free_addresses(count):
    with contextlib.ExitStack() as stack:
        bound = [stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(count)]
        for item in bound:
            item.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{item.getsockname()[1]}" for item in bound]


def settings_text(secret=SECRET):
    return TEMPLATE.format(*free_addresses(3), secret=secret)


class RunningDaemon:
    """Runs a daemon with an echo node inside one trio run per action."""

    def __init__(self, text=None, extra=""):
        self.text = (text or settings_text()) + extra
        self.settings = check_settings(self.text, "test").settings
        self.log = logbook.TestHandler(level=logbook.DEBUG)
        self.daemon = None
        self.exit_code = None

    def run(self, action, *extensions):
        """Run `action(self)` beside the daemon, then end it."""

        async def main():
            self.daemon = BalancerDaemon(
                self.settings, lambda identity, *_: EchoNode(identity), logbook.Logger("test")
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_daemon, extensions)
                with trio.fail_after(WAIT_S):
                    await action(self)
                self.daemon.force_stop()

        with self.log.applicationbound():
            trio.run(main)

    async def _run_daemon(self, extensions):
        self.exit_code = await self.daemon.run(*extensions)

    @property
    def node(self):
        return self.daemon.node

    async def until(self, condition):
        while not condition():
            await trio.sleep(0.002)

    def send(self, field, datagram, source=None):
        host, port = getattr(self.settings, field).split(":")
        with source or socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(datagram, (host, int(port)))

    async def echo(self, payload):
        """Send a packet and return the payload of the reply."""
        caller = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        await caller.bind(("127.0.0.1", 0))
        host, port = self.settings.edge_address.split(":")
        flow = packets.FlowKey("127.0.0.1:1", f"127.0.0.1:{caller.getsockname()[1]}", 7)
        packet = packets.CallerPacket(packets.CallerPacketKind.REQUEST, flow, 1, payload=payload)
        with caller:
            await caller.sendto(encode_packet(packet), (host, int(port)))
            if payload == FAIL:
                return None
            return decode_caller_reply(await caller.recv(9_000)).payload


def check(context):
    return check_settings(context.settings_text, "balancer.toml", context.overrides)


@given("a runtime settings file that is complete")
def step_complete(context):
    context.settings_text, context.overrides = settings_text(), ()


@then("the runtime settings are taken")
def step_taken(context):
    checked = check(context)
    assert checked.findings == () and checked.settings.name == "b1"


@when("the runtime settings have these values")
def step_values(context):
    rows = ((row["path"].split("."), tomllib.loads("v=" + row["value"])["v"]) for row in context.table)
    context.overrides = tuple(SettingsOverride(tuple(path), value) for path, value in rows)


@when("the runtime settings have three keys, two of them wrong")
def step_keys(context):
    context.settings_text += f"[[keys]]\nid = 1\nsecret = '{SECRET}'\n[[keys]]\nid = 2\nsecret = 'secret!'\n"


@then("the runtime findings are about")
def step_findings(context):
    checked = check(context)
    assert checked.settings is None
    found = sorted(finding.field for finding in checked.findings)
    assert found == sorted(row["path"] for row in context.table), found


@then("the runtime findings show no secret")
def step_no_secret(context):
    shown = " ".join(map(str, check(context).findings))
    assert SECRET not in shown and "secret!" not in shown
    taken = check_settings(settings_text(), "test").settings
    assert SECRET not in repr(taken)


@when("the runtime flags give a good name and a bad hall")
def step_flags(context):
    context.overrides = (
        SettingsOverride(("name",), "other"),
        SettingsOverride(("location", "hall"), ""),
    )


@then("the only runtime finding is about the flag")
def step_flag_finding(context):
    (finding,) = check(context).findings
    assert (finding.file, finding.field) == ("flags", "location.hall")
    context.overrides = context.overrides[:1]
    assert check(context).settings.name == "other"


@when("runtime settings are checked with arbitrary values")
def step_arbitrary_settings(context):
    context.checks, text = [], settings_text()
    top = tuple(field.name for field in msgspec.structs.fields(BalancerSettings))
    sections = [("node", field.name) for field in msgspec.structs.fields(NodeSettings)]
    paths = st.sampled_from([(name,) for name in top] + sections + [("node", "membership", "seeds")])
    scalars = st.integers() | st.floats() | st.text(max_size=5) | st.booleans()
    values = st.recursive(scalars, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner))
    overrides = st.lists(st.builds(SettingsOverride, paths, values), min_size=1, max_size=3).map(tuple)

    @PROPERTY
    @for_all(overrides)
    def check_arbitrary(overriding):
        context.checks.append(check_settings(text, "test", overriding))

    check_arbitrary()


@then("each runtime check gave settings or findings")
def step_checked(context):
    assert all((item.settings is None) == bool(item.findings) for item in context.checks)


@given("a runtime daemon with an echo node")
def step_daemon(context):
    context.running = RunningDaemon()


@when("a runtime caller sends a packet")
def step_send_packet(context):
    async def action(running):
        context.echoed = await running.echo(b"hello")

    context.running.run(action)


@then("the runtime caller gets its echo")
def step_echoed(context):
    assert context.echoed == b"hello"


@then("the runtime daemon still echoes")
def step_still_echoes(context):
    assert context.echoed == b"after"


@when("the runtime sockets get malformed, oversized and unauthenticated datagrams")
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


class Peer:
    """Another balancer's socket and keys; used as a context manager."""

    def __init__(self, running, secret=SECRET, key_id=1):
        self.running = running
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        ring = KeyRing((Key(key_id, bytes.fromhex(secret)),))
        address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.authenticator = Authenticator(ring, "b2", 1, address)

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.socket.close()

    def send(self, message, copies=1):
        address = self.running.settings.peer_address
        datagram = self.authenticator.seal(encode_bundle([encode_message(message)]), address)
        host, port = address.split(":")
        for _ in range(copies):
            self.socket.sendto(datagram, (host, int(port)))
        return len(datagram)


HEARTBEAT = messages.Heartbeat(1, -1, 0, messages.MemberState.ACTIVE, 0, "")
RECORDED = messages.FlowClosed(packets.FlowKey("127.0.0.1:1", "127.0.0.1:2", 3))


@when("a runtime peer sends a heartbeat, a recorded flow and a replay")
def step_peer_messages(context):
    async def action(running):
        with Peer(running) as peer:
            context.sizes = [peer.send(HEARTBEAT, copies=2), peer.send(RECORDED)]
            await running.until(lambda: len(running.node.events) == 2)

    context.running.run(action)


@then("the runtime node got both messages once")
def step_peer_messages_taken(context):
    received = context.running.node.noted(events.PeerMessageReceived)
    assert [event.message for event in received] == [HEARTBEAT, RECORDED], received
    assert {event.sender for event in received} == {"b2"}
    assert context.running.node.counters.input_replayed == 1


@then("the runtime traffic counted control and data apart")
def step_traffic(context):
    totals = context.running.daemon.traffic.totals
    found = [totals[item].received_bytes for item in (TrafficClass.CONTROL, TrafficClass.DATA)]
    assert found == context.sizes, found


class Sink:
    """A socket that keeps what is sent through it."""

    def __init__(self):
        self.sent = []

    def send(self, datagram, address):
        self.sent.append((datagram, address))


@when("a runtime node sends 40 messages of 100 bytes to each of two peers")
def step_outbox(context):
    context.sink = Sink()
    identity = messages.Member("b1", 1, "10.0.0.1:7000", Location("r", "z", "h"))
    sealing = Authenticator(KeyRing((Key(1, bytes.fromhex(SECRET)),)), "b1", 1, identity.address)
    outbox = PeerOutbox(EchoNode(identity), context.sink, sealing, TrafficMeter())
    for number in range(40):
        for address in ("10.0.0.2:7000", "10.0.0.3:7000"):
            outbox.add(address, messages.ConfigurationPart(number, "d" * 8, 0, 0, 1, bytes(86)))
    outbox.flush()


@then("the runtime peers get them in order, in 4 datagrams each")
def step_outbox_sent(context):
    for host in ("10.0.0.2", "10.0.0.3"):
        ring = KeyRing((Key(1, bytes.fromhex(SECRET)),))
        peer = Authenticator(ring, "b9", 1, f"{host}:7000")
        datagrams = [datagram for datagram, address in context.sink.sent if address == (host, 7000)]
        bundles = [decode_bundle(peer.open(datagram, "10.0.0.1:7000").body) for datagram in datagrams]
        assert [message.generation for bundle in bundles for message in bundle] == list(range(40))
        assert len(datagrams) == 4 and max(map(len, datagrams)) <= 1_400, list(map(len, datagrams))


@given("a runtime probe driver")
def step_probe_driver(context):
    context.sent = []
    context.driver = KeepaliveProbeDriver("10.0.0.1:1", 0.5, context.sent.append)


def start_probe(context, now):
    context.driver.start(commands.ProbeBackend("archive-1", "10.0.0.7:9"), now)
    packet = context.sent[-1].packet
    assert context.sent[-1].address == "10.0.0.7:9" and packet.kind is packets.CallerPacketKind.KEEPALIVE
    load = packets.LoadReport(3, 4)
    return packets.BackendReply(packets.BackendReplyKind.ALIVE, packet.flow, packet.request_id, load=load)


@then("an answer of the probed runtime back end ends its probe")
def step_probe_answered(context):
    for payload, healthy in ((b"", True), (b"draining", False)):
        reply = msgspec.structs.replace(start_probe(context, 1.0), payload=payload)
        probed = context.driver.take_reply("10.0.0.7:9", reply)
        assert probed == events.BackendProbed("archive-1", reply.load, healthy)
        assert context.driver.take_reply("10.0.0.7:9", reply) is None


@then("an answer of another runtime back end does not")
def step_probe_other(context):
    reply = start_probe(context, 2.0)
    assert context.driver.take_reply("10.0.0.8:9", reply) is None


@then("a runtime probe without an answer ends at its deadline")
def step_probe_deadline(context):
    assert context.driver.next_deadline() == 2.5 and context.driver.on_time(2.4) == []
    assert context.driver.on_time(2.5) == [events.BackendProbed("archive-1", None, False)]
    assert context.driver.next_deadline() == NEVER


@given("a runtime daemon beside a stand-in platform")
def step_platform(context):
    context.platform = PlatformState()
    context.running = RunningDaemon(extra="[platform]\nurl = 'http://{}'\n".format(*free_addresses(1)))


@when("the runtime platform gets a configuration and then goes down")
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


@then("the runtime node got the configuration, that it is unchanged, and the failure")
def step_platform_events(context):
    read, unchanged, failed = context.running.node.events
    assert read.snapshot == context.platform.latest
    assert unchanged == events.ConfigurationReadUnchanged()
    assert failed == events.ConfigurationReadFailed("status 503")


@when("runtime configuration answers of arbitrary content are checked")
def step_arbitrary_answers(context):
    context.answers = []
    valid = msgspec.json.encode(make_snapshot(1, [Region(API_VERSION, Metadata("accra"))]))

    @PROPERTY
    @for_all(st.binary(max_size=50), st.integers(0, len(valid)), st.integers(0, 9))
    def decode(inserted, position, cut):
        body = valid[:position] + inserted + valid[position + cut :]
        context.answers.append((body == valid, decode_configuration(body)))

    decode()


@then("each runtime answer was a snapshot or refused with a reason")
def step_answers(context):
    refused = [answer for _, answer in context.answers if isinstance(answer, ReadFailure)]
    assert refused and all(answer.reason for answer in refused)
    taken = [answer for _, answer in context.answers if not isinstance(answer, ReadFailure)]
    assert all(isinstance(answer, ConfigurationSnapshot) for answer in taken)


def run_with_signals(context, sent, completes_stop, reload=None, after=None):
    async def action(running):
        running.node.completes_stop = completes_stop
        await trio.testing.wait_all_tasks_blocked()
        for number in sent:
            os.kill(os.getpid(), number)
            await trio.testing.wait_all_tasks_blocked(0.02)
        if after is not None:
            await after(running)
        else:
            await running.until(lambda: running.exit_code is not None)

    context.running = context.running if "running" in context else RunningDaemon()
    context.running.exit_code = None
    context.running.run(action, SignalTask(reload).run)


@when("a runtime daemon gets SIGTERM and its node completes the stop")
def step_sigterm(context):
    run_with_signals(context, [signal.SIGTERM], completes_stop=True)


@when("a runtime daemon gets SIGTERM twice before its node completes the stop")
def step_sigterm_twice(context):
    run_with_signals(context, [signal.SIGTERM, signal.SIGTERM], completes_stop=False)


@then("the runtime exit code is {code:d}")
def step_exit_code(context, code):
    assert context.running.exit_code == code
    assert len(context.running.node.noted(events.StopRequested)) == 1


@when("the runtime settings file gets another key and the daemon SIGHUP")
def step_sighup(context):
    async def heard(running):
        with Peer(running, NEW_SECRET, key_id=2) as peer:
            peer.send(HEARTBEAT)
            await running.until(lambda: running.node.events)

    with tempfile.TemporaryDirectory() as directory:
        file = pathlib.Path(directory, "balancer.toml")
        file.write_text(context.running.text + f"[[keys]]\nid = 2\nsecret = '{NEW_SECRET}'\n")
        handler = create_log_handler(LogSettings())
        reloader = SettingsReloader(file, (), handler)
        run_with_signals(context, [signal.SIGHUP], False, reloader.reload, heard)


@then("a runtime peer with the new key is heard")
def step_new_key(context):
    (event,) = context.running.node.events
    assert event.message == HEARTBEAT


def run_deadline_task(deadlines, is_idle, action):
    """Run a task on simulated time; return when it fired."""
    fired_at = []

    async def main():
        started = trio.current_time()

        def clock():
            return trio.current_time() - started

        def fire():
            fired_at.append(round(clock(), 6))
            deadlines.pop(0)

        task = DeadlineTask(clock, lambda: deadlines[0], fire, lambda: is_idle)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(task.run)
            await trio.sleep(3)
            action(task)
            await trio.sleep(100)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return fired_at


@when("a runtime deadline moves forward while it is waited for")
def step_deadline(context):
    deadlines = [50.0, NEVER]

    def move_forward(task):
        deadlines[0] = 7.0
        task.adjust()

    context.fired_at = run_deadline_task(deadlines, False, move_forward)


@then("the runtime deadline fired at the earlier time")
def step_deadline_fired(context):
    assert context.fired_at == [7.0], context.fired_at


@when("a runtime deadline is waited for by an idle and by a busy balancer")
def step_idle_deadline(context):
    def do_nothing(task):
        pass

    context.fired_at = [run_deadline_task([5.011, NEVER], idle, do_nothing) for idle in (True, False)]


@then("only the idle runtime deadline was rounded up")
def step_idle_rounded(context):
    assert context.fired_at == [[5.05], [5.011]], context.fired_at


@when("the runtime bench opens {count:d} flows")
def step_bench_memory(context, count):
    context.figure = measure_memory(count)


@then("the runtime bench reports {count:d} flows and their memory")
def step_bench_memory_figure(context, count):
    assert context.figure.flows == count, context.figure
    assert context.figure.resident_after >= context.figure.resident_before > 0


@when("the runtime bench runs {count:d} batches of the bare loop")
def step_bench_bare(context, count):
    async def run():
        context.bare_loop = BareLoop()
        for _ in range(count):
            await context.bare_loop.run_batch()
        context.bare_loop.close()

    trio.run(run)


@then("the runtime bench counted {count:d} packets and their processor time")
def step_bench_bare_counted(context, count):
    assert context.bare_loop.packets == count
    assert context.bare_loop.stopwatch.seconds > 0

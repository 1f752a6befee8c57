"""Steps on encoding and authentication of datagrams."""

from __future__ import annotations

from behave import given, then, when
from hypothesis import example, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from sloepond.core import messages, packets
from sloepond.wire import codec, edge, failures
from sloepond.wire.authentication import Authenticator, Key, KeyRing, OpenedDatagram
from sloepond.wire.replay import WINDOW_BITS, ReplayGuard, ReplayWindow

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=100)
SENDER_ADDRESS = "10.0.0.1:7000"
RECEIVER_ADDRESS = "10.0.0.2:7000"
OLD_KEY = Key(1, bytes(range(32)))
NEW_KEY = Key(2, bytes(range(32, 64)))

DECODERS = (
    edge.decode_caller_packet,
    edge.decode_caller_reply,
    edge.decode_backend_packet,
    edge.decode_backend_reply,
    codec.decode_message,
    codec.decode_bundle,
)
PACKET_DECODERS = {
    packets.CallerPacket: edge.decode_caller_packet,
    packets.CallerReply: edge.decode_caller_reply,
    packets.BackendPacket: edge.decode_backend_packet,
    packets.BackendReply: edge.decode_backend_reply,
}

addresses = st.sampled_from(["10.1.2.3:99", "[2001:db8::1]:65535", ""])
flows = st.builds(packets.FlowKey, addresses, addresses, st.integers(0, 2**64 - 1))
request_ids = st.integers(0, packets.MAXIMUM_REQUEST_ID)
attempts = st.integers(0, edge.MAXIMUM_ATTEMPT)
timeouts = st.integers(0, edge.MAXIMUM_TIMEOUT_MS)
loads = st.none() | st.builds(packets.LoadReport, st.integers(0, 9), st.integers(0, 2**31 - 1))
request_fields = {"flow": flows, "request_id": request_ids, "attempt": attempts, "timeout_ms": timeouts}
kinds = st.sampled_from(packets.CallerPacketKind)
caller_packets = st.builds(packets.CallerPacket, kinds, **request_fields)
reply_fields = {
    "flow": flows,
    "request_id": request_ids,
    "attempt": attempts,
    "part": st.just(0),
    "parts": st.integers(1, 9),
}
edge_packets = st.one_of(
    caller_packets,
    st.builds(packets.BackendPacket, kinds, **request_fields),
    st.builds(
        packets.CallerReply,
        st.sampled_from(packets.CallerReplyKind),
        reason=st.sampled_from(packets.Reason),
        retry_after_ms=timeouts,
        **reply_fields,
    ),
    st.builds(packets.BackendReply, st.sampled_from(packets.BackendReplyKind), load=loads, **reply_fields),
)
wide_numbers = st.integers(-(2**63), 2**64 - 1)
wide_packets = st.builds(packets.CallerPacket, kinds, flows, wide_numbers, wide_numbers)
peer_messages = st.one_of(
    st.builds(messages.ConfigurationRequested, attempts, attempts, attempts),
    st.builds(messages.ConfigurationPart, attempts, st.text(), attempts, attempts, attempts, st.binary()),
    st.builds(messages.ConfigurationOffered, attempts, st.text(max_size=8)),
)
mutations = st.lists(st.tuples(st.integers(0, 80), st.integers(0, 255)), max_size=3)


def authenticator(name="sender", incarnation=5, address=SENDER_ADDRESS, keys=(OLD_KEY,)):
    return Authenticator(KeyRing(keys), name, incarnation, address)


def receiver(keys=(OLD_KEY,), address=RECEIVER_ADDRESS):
    return authenticator("receiver", 9, address, keys)


def sealed(body=b"body", sender=None, address=RECEIVER_ADDRESS):
    return (sender or authenticator()).seal(body, address)


def is_refused(result):
    return isinstance(result, failures.AuthenticationFailure) and bool(result.reason)


@when("wire datagrams with arbitrary bodies are sealed and opened")
def step_seal_open(context):
    context.opened = []

    @PROPERTY
    @for_all(st.binary(max_size=200), st.text(min_size=1, max_size=15), st.integers(0, 2**48 - 1))
    def seal_and_open(body, name, incarnation):
        sender = authenticator("s" + name, incarnation)
        opened = receiver().open(sealed(body, sender), SENDER_ADDRESS)
        context.opened.append((opened, OpenedDatagram("s" + name, incarnation, body)))

    seal_and_open()


@then("each wire datagram opened to its sender and body")
def step_opened(context):
    assert len(context.opened) >= 100
    for opened, expected in context.opened:
        assert opened == expected, opened


@when("wire arbitrary bytes are opened")
def step_open_arbitrary(context):
    context.results = []

    @PROPERTY
    @for_all(st.binary(max_size=120))
    def open_bytes(datagram):
        context.results.append(receiver().open(datagram, SENDER_ADDRESS))

    open_bytes()


@when("wire datagrams are opened with one byte changed")
def step_open_changed(context):
    context.results = []

    @PROPERTY
    @for_all(st.integers(0, 10_000), st.integers(1, 255))
    def open_changed(position, difference):
        datagram = bytearray(sealed())
        datagram[position % len(datagram)] ^= difference
        context.results.append(receiver().open(bytes(datagram), SENDER_ADDRESS))

    open_changed()


@when("wire datagrams are opened truncated or extended")
def step_open_truncated(context):
    datagram = sealed()
    truncated = [datagram[:size] for size in range(len(datagram))]
    extended = [datagram + b"x", b"x" + datagram, datagram + bytes(2**15)]
    context.results = [receiver().open(item, SENDER_ADDRESS) for item in truncated + extended]


@when("a wire datagram for one balancer is opened by another")
def step_open_other(context):
    context.results = [receiver(address="10.0.0.3:7000").open(sealed(), SENDER_ADDRESS)]
    moved = sealed(b"body", address="110.0.0.2:7000")
    context.results.append(receiver(address="10.0.0.2:7000").open(moved, SENDER_ADDRESS))


@when("a wire datagram is opened with another source address")
def step_open_other_source(context):
    context.results.append(receiver().open(sealed(), "10.0.0.9:7000"))


@then("each was refused with a wire reason")
def step_all_refused(context):
    assert context.results
    assert all(map(is_refused, context.results)), context.results


@when("wire datagrams arrive reordered and duplicated within the window")
def step_arrive_reordered(context):
    context.accepted = []

    @settings(PROPERTY, max_examples=40)
    @for_all(st.integers(2, 60), st.randoms(use_true_random=False), st.integers(1, 3))
    def arrive(count, random, repetitions):
        sender, opening = authenticator(), receiver()
        datagrams = [sealed(bytes([number]), sender) for number in range(count)] * repetitions
        random.shuffle(datagrams)
        opened = [opening.open(datagram, SENDER_ADDRESS) for datagram in datagrams]
        bodies = [item.body for item in opened if isinstance(item, OpenedDatagram)]
        refused = {item for item in opened if not isinstance(item, OpenedDatagram)}
        context.accepted.append((sorted(bodies), [bytes([number]) for number in range(count)], refused))

    arrive()


@then("each wire datagram was accepted exactly once")
def step_accepted_once(context):
    assert any(refused for _, _, refused in context.accepted)
    for bodies, expected, refused in context.accepted:
        assert bodies == expected
        assert refused <= {failures.REPLAYED}


@when("wire sequence numbers far apart arrive")
def step_sequences(context):
    context.comparisons = []

    @PROPERTY
    @for_all(st.lists(st.integers(0, 3 * WINDOW_BITS), max_size=60))
    def compare(sequences):
        window, seen, highest = ReplayWindow(1), set(), -1
        for sequence in sequences:
            is_new = sequence not in seen and sequence > highest - WINDOW_BITS
            context.comparisons.append((window.accept(sequence), is_new))
            seen.add(sequence)
            highest = max(highest, sequence)

    compare()


@then("the wire replay window accepted the same numbers as the set")
def step_window_agrees(context):
    assert {expected for _, expected in context.comparisons} == {True, False}
    assert all(accepted == expected for accepted, expected in context.comparisons)


@given("a wire sender that was restarted")
def step_restarted(context):
    context.receiver = receiver()
    context.older = authenticator(incarnation=5)
    context.first_of_older = sealed(sender=context.older)
    assert isinstance(context.receiver.open(context.first_of_older, SENDER_ADDRESS), OpenedDatagram)
    newer = sealed(sender=authenticator(incarnation=6))
    assert isinstance(context.receiver.open(newer, SENDER_ADDRESS), OpenedDatagram)


@then("wire datagrams of the older incarnation are refused")
def step_older_refused(context):
    for datagram in (sealed(sender=context.older), context.first_of_older):
        assert context.receiver.open(datagram, SENDER_ADDRESS) is failures.INCARNATION_OLD


@given("a wire sender and receiver that rotate from one key to another")
def step_rotate(context):
    context.sender, context.receiver, context.results = authenticator(), receiver(), []
    rings = ((OLD_KEY,), (OLD_KEY, NEW_KEY), (NEW_KEY, OLD_KEY), (NEW_KEY,))
    context.receiver.replace_keys(KeyRing(rings[0]))
    for ring in rings[1:]:
        for rotating in (context.receiver, context.sender):
            rotating.replace_keys(KeyRing(ring))
            context.results.append(context.receiver.open(sealed(sender=context.sender), SENDER_ADDRESS))


@then("every wire datagram of the rotation was accepted")
def step_rotation_accepted(context):
    assert len(context.results) == 6
    assert all(isinstance(result, OpenedDatagram) for result in context.results), context.results


@then("a wire datagram sealed with the retired key is refused")
def step_retired(context):
    assert context.receiver.open(sealed(), SENDER_ADDRESS) is failures.KEY_UNKNOWN


@when("wire datagrams of more senders than the limit arrive")
def step_many_senders(context):
    context.guard = ReplayGuard(maximum_senders=10)
    context.results = [context.guard.check(f"b{number}", 1, 1) for number in range(50)]


@then("the wire replay guard keeps no more senders than its limit")
def step_guard_bounded(context):
    assert context.results == [None] * 50
    again = [context.guard.check(f"b{number}", 1, 1) for number in range(49, -1, -1)]
    assert again == [failures.REPLAYED] * 10 + [None] * 40


@then("a wire envelope adds 29 bytes and the sender's name")
def step_envelope_size(context):
    assert len(sealed(b"x" * 20)) == 20 + 29 + len("sender")


@when("wire packets of every kind are encoded and decoded")
def step_round_trip(context):
    context.pairs = []

    @PROPERTY
    @for_all(edge_packets, peer_messages)
    def round_trip(packet, message):
        decode = PACKET_DECODERS[type(packet)]
        context.pairs.append((packet, decode(edge.encode_packet(packet))))
        encoded = codec.encode_message(message)
        context.pairs.append((message, codec.decode_message(encoded)))
        context.pairs.append(([message] * 15, codec.decode_bundle(codec.encode_bundle([encoded] * 15))))

    round_trip()


@then("each wire packet was decoded to an equal one")
def step_equal(context):
    for before, after in context.pairs:
        assert type(before) is type(after) and before == after, (before, after)


def decode_all(context, datagram):
    context.decoded += [decode(datagram) for decode in DECODERS]


@when("wire arbitrary bytes are passed to every decoder")
def step_decode_arbitrary(context):
    context.decoded = []

    @settings(PROPERTY, max_examples=250)
    @for_all(st.binary(max_size=100))
    def decode(datagram):
        decode_all(context, datagram)

    decode()


@when("wire mutated packets are passed to every decoder")
def step_decode_mutated(context):
    context.decoded = []

    wide = packets.CallerPacket(packets.CallerPacketKind.OPEN, packets.FlowKey("a:1", "b:1", 1), 2**63)

    @settings(PROPERTY, max_examples=250)
    @for_all(edge_packets | peer_messages | wide_packets, mutations, st.integers(0, 1))
    @example(wide, [], 1)
    def decode(packet, changes, not_bundled):
        datagram = bytearray(codec.encode_bundle([codec.encode_message(packet)])[not_bundled:])
        for position, value in changes:
            datagram[position % len(datagram)] = value
        decode_all(context, bytes(datagram))

    decode()


@then("each wire decoder returned a value or a reason")
def step_decoded(context):
    assert len(context.decoded) >= 1_000
    reasons = [item for item in context.decoded if isinstance(item, failures.DecodeFailure)]
    assert reasons and all(item.reason for item in reasons)
    values = [item for item in context.decoded if not isinstance(item, failures.DecodeFailure | list)]
    assert all(type(item).__module__.startswith("sloepond.core.") for item in values)


@then("the decoded wire numbers were within their ranges")
def step_in_range(context):
    decoded = [item for item in context.decoded if type(item) in PACKET_DECODERS]
    assert decoded and failures.OUT_OF_RANGE in context.decoded
    for packet in decoded:
        assert 0 <= packet.request_id <= packets.MAXIMUM_REQUEST_ID
        assert packet.flow.incarnation >= 0
        assert isinstance(edge.encode_packet(packet), bytes)


@when("wire input above the size limit is passed to every decoder")
def step_decode_oversized(context):
    context.decoded = []
    decode_all(context, bytes(codec.MAXIMUM_MESSAGE_BYTES + 1))


@then("each wire decoder reported it as oversized")
def step_oversized(context):
    assert context.decoded == [failures.OVERSIZED] * len(DECODERS)

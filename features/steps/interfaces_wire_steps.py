"""Steps that compare sent bytes with those recorded in features/interfaces/wire.json."""

from __future__ import annotations

import json
import pathlib

import interfaces_values as values
from behave import given, then
from interfaces_channel import PEER_IP, ChannelAndPeer

from sloepond.platform.packet_codec import PlatformPacketCodec
from sloepond.platform.store import PlatformStoreCodec
from sloepond.runtime.forwarding.http_exchange import HttpExchange
from sloepond.wire import codec, edge
from sloepond.wire.authentication import Authenticator, Key, KeyRing

GOLDEN = json.loads(pathlib.Path("features/interfaces/wire.json").read_text(encoding="utf-8"))
PACKETS = PlatformPacketCodec(8172)
STORE = PlatformStoreCodec()
STORE_ADDRESS = "10.200.1.7:8169"
PACKET_DECODERS = {
    "caller packet": edge.decode_caller_packet,
    "caller reply": edge.decode_caller_reply,
    "back end packet": edge.decode_backend_packet,
    "back end reply": edge.decode_backend_reply,
}
SENDER, SENDER_ADDRESS = "front-osu-hall-1", "10.1.0.10:7000"
RECEIVER, RECEIVER_ADDRESS = "front-tema-hall-1", "10.2.0.40:7000"


def golden(group):
    """Return the recorded bytes of a group, by name."""
    return {name: bytes.fromhex("".join(text)) for name, text in GOLDEN[group].items()}


def compare(group, sent):
    """Fail with the names whose bytes differ or are missing on one side."""
    expected = golden(group)
    differing = {
        name: sent.get(name, b"").hex()
        for name in expected.keys() | sent.keys()
        if expected.get(name) != sent.get(name)
    }
    assert not differing, differing


def authenticator(name, address):
    """Return the authenticator of one balancer."""
    return Authenticator(KeyRing((Key(3, bytes(range(32))),)), name, 2**41 + 1, address)


def sealed_bundle():
    """Return one datagram with all configuration messages."""
    encoded = [codec.encode_message(message) for message in values.OWN_MESSAGES.values()]
    return authenticator(SENDER, SENDER_ADDRESS).seal(codec.encode_bundle(encoded), RECEIVER_ADDRESS)


def store_requests():
    """Return the bytes of each request to the store."""
    targets = {name: STORE.read_target(*call) for name, call in values.STORE_CALLS.items()}
    targets |= {name: STORE.watch_target(watch) for name, watch in values.STORE_WATCHES.items()}
    targets["probe"] = STORE.probe_target()
    return {name: HttpExchange(STORE_ADDRESS).request(target) for name, target in targets.items()}


@given("interfaces: a channel between balancers")
def channel(context):
    context.ends = ChannelAndPeer()
    context.add_cleanup(context.ends.close)


@then("interfaces: each datagram between balancers has the recorded bytes")
def datagrams_sent(context):
    sent = {name: context.ends.sent_for(message) for name, message in values.PEER_DATAGRAMS.items()}
    compare("peer datagrams", sent)


@then("interfaces: each datagram between balancers is decoded from the recorded bytes")
def datagrams_received(context):
    expected = values.PEER_DATAGRAMS | values.SHORT_PEER_DATAGRAMS
    for name, datagram in (golden("peer datagrams") | golden("short peer datagrams")).items():
        assert context.ends.event_of(datagram) == values.received(PEER_IP, expected[name]), name


@then("interfaces: there is no other datagram between balancers")
def no_other_datagram(context):
    assert {type(message) for message in values.PEER_DATAGRAMS.values()} == values.PEER_MESSAGE_TYPES
    assert {type(request) for request in values.STREAM_REQUESTS.values()} == values.PEER_REQUEST_TYPES


@then("interfaces: each request on a stream has the recorded bytes and its answer is decoded")
def stream_requested(context):
    requests, answers = golden("stream questions"), golden("stream answers")
    for name, request in requests.items():
        sent, event = context.ends.request_and_event(name, answers[name])
        assert sent == request, (name, sent.hex())
        assert event == values.answered(PEER_IP, name), name


@then("interfaces: each request on a stream is answered with the recorded bytes")
def stream_answered(context):
    answers = {name: context.ends.answer_to(request) for name, request in golden("stream questions").items()}
    compare("stream answers", answers)


@then("interfaces: packets to back ends and callers on the platform have the recorded bytes")
def platform_packets(context):
    caller = golden("platform packets from callers")
    sent = {name: PACKETS.encode(datagram, values.TARGET) for name, datagram in caller.items()}
    for name, target in values.OTHER_TARGETS.items():
        sent[name] = PACKETS.encode(caller["opening"], target)
    sent["reset of an opening"] = PACKETS.encode_reset(values.OPENING)
    sent["reset of an open flow"] = PACKETS.encode_reset(values.LAST)
    compare("platform packets", sent)


@then("interfaces: packets of callers on the platform are decoded from the recorded bytes")
def platform_decoded(context):
    caller = golden("platform packets from callers")
    assert PACKETS.decode(caller["opening"]) == values.OPENING
    assert PACKETS.decode(caller["closing"]) == values.LAST
    assert PACKETS.request_id(caller["request"]) == "r-00042"


@then("interfaces: requests to the store have the recorded bytes")
def store_calls(context):
    compare("store requests", store_requests())


@then("interfaces: packets of sloepond's own callers and back ends have the recorded bytes")
def own_packets(context):
    sent = {name: edge.encode_packet(packet) for name, packet in values.OWN_PACKETS.items()}
    compare("own packets", sent)


@then("interfaces: sloepond's own packets are decoded from the recorded bytes")
def own_packets_decoded(context):
    for name, datagram in golden("own packets").items():
        [decode] = [PACKET_DECODERS[kind] for kind in PACKET_DECODERS if name.startswith(kind)]
        assert decode(datagram) == values.OWN_PACKETS[name], name


@then("interfaces: numbers in sloepond's own packets keep their meaning")
def own_numbers(context):
    for name, enumeration in values.OWN_NUMBERS.items():
        numbers = {member.name.lower(): member.value for member in enumeration}
        if name == "reason":
            numbers = {
                text: number for text, number in numbers.items() if number not in values.REASONS_OF_REPLICAS
            }
        assert numbers == GOLDEN["numbers"][name], (name, numbers)


@then("interfaces: configuration messages between balancers have the recorded bytes")
def own_messages(context):
    sent = {name: codec.encode_message(message) for name, message in values.OWN_MESSAGES.items()}
    compare("own messages", sent)
    compare("own datagrams", {"all configuration messages": sealed_bundle()})


@then("interfaces: configuration messages between balancers are decoded from the recorded bytes")
def own_messages_decoded(context):
    for name, body in golden("own messages").items():
        assert codec.decode_message(body) == values.OWN_MESSAGES[name], name
    [datagram] = golden("own datagrams").values()
    opened = authenticator(RECEIVER, RECEIVER_ADDRESS).open(datagram, SENDER_ADDRESS)
    assert (opened.sender, opened.incarnation) == (SENDER, 2**41 + 1)
    assert codec.decode_bundle(opened.body) == list(values.OWN_MESSAGES.values())

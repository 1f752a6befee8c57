"""Formats of the stand-ins for callers and back ends: msgpack arrays of the core's packets.

Deployments with other formats replace this module; the core uses only the structs of `core.packets`.
Decoders check the range of every number, so that the core receives none that it cannot store or
forward.
"""

from __future__ import annotations

import msgspec

from sloepond.core.packets import (
    MAXIMUM_REQUEST_ID,
    BackendPacket,
    BackendReply,
    CallerPacket,
    CallerReply,
    FlowKey,
)
from sloepond.wire.failures import MALFORMED, OUT_OF_RANGE, OVERSIZED, DecodeFailure

MAXIMUM_PACKET_BYTES = 8_192
"""Largest datagram from or to callers and back ends, in bytes."""

MAXIMUM_ADDRESS_CHARACTERS = 64
"""Longest address in a flow key; an IPv6 address with its port has at most 47 characters."""

MAXIMUM_ATTEMPT = 2**31 - 1
"""Largest attempt; the core draws random 31-bit numbers for the attempts of a request."""

MAXIMUM_TIMEOUT_MS = 86_400_000
MAXIMUM_PARTS = 65_535
MAXIMUM_TOKEN = 2**32 - 1
MAXIMUM_LOAD = 2**31 - 1

EdgePacket = CallerPacket | CallerReply | BackendPacket | BackendReply

_ENCODER = msgspec.msgpack.Encoder()
_CALLER_PACKET_DECODER = msgspec.msgpack.Decoder(CallerPacket)
_CALLER_REPLY_DECODER = msgspec.msgpack.Decoder(CallerReply)
_BACKEND_PACKET_DECODER = msgspec.msgpack.Decoder(BackendPacket)
_BACKEND_REPLY_DECODER = msgspec.msgpack.Decoder(BackendReply)
_DECODING_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


def encode_packet(packet: EdgePacket) -> bytes:
    """Return the encoded form of any packet.

    :raises OverflowError: if an integer does not fit into 64 bits.
    """
    return _ENCODER.encode(packet)


def decode_caller_packet(datagram: bytes) -> CallerPacket | DecodeFailure:
    """Return the packet that a caller sent, or why it cannot be decoded."""
    if len(datagram) > MAXIMUM_PACKET_BYTES:
        return OVERSIZED
    try:
        packet = _CALLER_PACKET_DECODER.decode(datagram)
    except _DECODING_ERRORS:
        return MALFORMED
    if not _is_request_in_range(packet):
        return OUT_OF_RANGE
    return packet


def decode_backend_packet(datagram: bytes) -> BackendPacket | DecodeFailure:
    """Return the packet that a balancer sent to a back end, or why it cannot be decoded."""
    if len(datagram) > MAXIMUM_PACKET_BYTES:
        return OVERSIZED
    try:
        packet = _BACKEND_PACKET_DECODER.decode(datagram)
    except _DECODING_ERRORS:
        return MALFORMED
    if not _is_request_in_range(packet):
        return OUT_OF_RANGE
    return packet


def decode_caller_reply(datagram: bytes) -> CallerReply | DecodeFailure:
    """Return the packet that a balancer sent to a caller, or why it cannot be decoded."""
    if len(datagram) > MAXIMUM_PACKET_BYTES:
        return OVERSIZED
    try:
        reply = _CALLER_REPLY_DECODER.decode(datagram)
    except _DECODING_ERRORS:
        return MALFORMED
    if not _is_reply_in_range(reply) or not 0 <= reply.retry_after_ms <= MAXIMUM_TIMEOUT_MS:
        return OUT_OF_RANGE
    return reply


def decode_backend_reply(datagram: bytes) -> BackendReply | DecodeFailure:
    """Return the packet that a back end sent, or why it cannot be decoded."""
    if len(datagram) > MAXIMUM_PACKET_BYTES:
        return OVERSIZED
    try:
        reply = _BACKEND_REPLY_DECODER.decode(datagram)
    except _DECODING_ERRORS:
        return MALFORMED
    if not _is_reply_in_range(reply) or not _is_load_in_range(reply):
        return OUT_OF_RANGE
    return reply


def _is_flow_in_range(flow: FlowKey) -> bool:
    return (
        flow.incarnation >= 0
        and len(flow.service_address) <= MAXIMUM_ADDRESS_CHARACTERS
        and len(flow.caller_address) <= MAXIMUM_ADDRESS_CHARACTERS
    )


def _is_request_in_range(packet: CallerPacket | BackendPacket) -> bool:
    return (
        0 <= packet.request_id <= MAXIMUM_REQUEST_ID
        and 0 <= packet.attempt <= MAXIMUM_ATTEMPT
        and 0 <= packet.timeout_ms <= MAXIMUM_TIMEOUT_MS
        and 0 <= packet.token <= MAXIMUM_TOKEN
        and _is_flow_in_range(packet.flow)
    )


def _is_reply_in_range(reply: CallerReply | BackendReply) -> bool:
    return (
        0 <= reply.request_id <= MAXIMUM_REQUEST_ID
        and 0 <= reply.attempt <= MAXIMUM_ATTEMPT
        and 0 <= reply.part < reply.parts <= MAXIMUM_PARTS
        and 0 <= reply.token <= MAXIMUM_TOKEN
        and _is_flow_in_range(reply.flow)
    )


def _is_load_in_range(reply: BackendReply) -> bool:
    load = reply.load
    if load is None:
        return True
    return 0 <= load.in_flight <= MAXIMUM_LOAD and 0 <= load.flows <= MAXIMUM_LOAD

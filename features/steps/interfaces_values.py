"""One value of each message and packet, by a name that does not depend on the class's name.

The classes are used only here, so that renaming one changes only this module.
"""

from __future__ import annotations

import typing

from sloepond.core.forwarding.commands import (
    FetchRoutes,
    FetchSnapshot,
    ReadSubject,
    SendToPeer,
    WatchSubject,
)
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import (
    PeerMessageReceived,
    RoutesReceived,
    SnapshotReceived,
    Subject,
)
from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.peers import messages as peer
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backend_records import BackendRecord, BackendState
from sloepond.core.forwarding.state.evacuated_halls import EvacuatedHalls
from sloepond.core.forwarding.state.list_checksum import ListChecksum
from sloepond.core.forwarding.state.route_delta import RouteDelta
from sloepond.core.forwarding.state.routes import ColdStart, Route, RouteConfiguration, Share
from sloepond.core.messages import ConfigurationOffered, ConfigurationPart, ConfigurationRequested
from sloepond.core.packets import (
    BackendPacket,
    BackendReply,
    BackendReplyKind,
    CallerPacket,
    CallerPacketKind,
    CallerReply,
    CallerReplyKind,
    FlowKey,
    LoadReport,
    Reason,
)

PEER_MESSAGE_TYPES = frozenset(typing.get_args(peer.PeerMessage))
PEER_REQUEST_TYPES = frozenset(typing.get_args(peer.StreamRequest))

READY = BackendRecord(
    "i-7f3a91c2", 0x7F3A91C2, "a", "10.128.0.9", 8080, "osu-hall", 3, BackendState.READY, 1.5, 412
)
LEAVING = BackendRecord(
    "i-2", 2**64 - 2, "b", "10.128.0.10", 65535, "tema-hall", 200, BackendState.LEAVING, 0.0, 70_000
)
DEPARTED = BackendRecord("i-3", 3, "b", "10.128.0.11", 80, "", 1, BackendState.DEPARTED, 0.25, 2**40)
KNOWN = (
    peer.KnownBackend(READY, 0.0, False),
    peer.KnownBackend(LEAVING, 0.0, True),
    peer.KnownBackend(DEPARTED, 12.75, True),
)
ROUTES = (
    Route("r-a", 0xC61200011F90, (Share("a", 90.0), Share("b", 10.5)), False, 2.5, 2, ("accra", "tema")),
    Route("r-b", 0xC612000201BB, (Share("b", 1.0),)),
)
COLD_STARTS = (ColdStart("a", 2.0, 3.5),)
CONFIGURATION = RouteConfiguration(7, ROUTES, 12.5, COLD_STARTS)
SMALL_DELTA = RouteDelta(6, 7, ROUTES[:1], (0xC61200030050,), 12.5)
LARGE_DELTA = RouteDelta(7, 9, ROUTES, (1, 2**48 - 1), 30.25, COLD_STARTS)
EVACUATED = EvacuatedHalls(415, ("osu-hall", "tema-hall"))
CHANGES = peer.Changes(7, SMALL_DELTA, 400, 500, 412, KNOWN, EVACUATED, 0x9E3779B97F4A7C15)
LIST = ListChecksum()
LIST.add(READY.name, READY.number, READY.revision)
LIST.add(LEAVING.name, LEAVING.number, LEAVING.revision)
LIST.add(DEPARTED.name, DEPARTED.number, DEPARTED.revision)
LIST.remove(DEPARTED.name)
LIST_CHANGES = peer.Changes(9, None, 0, 2**33, 2**32, (), EvacuatedHalls(), LIST.value)

PEER_DATAGRAMS = {
    "heartbeat": peer.Heartbeat(7, 412, True, ("10.1.0.10", "10.2.0.40"), "osu-hall"),
    "token request": peer.TokenRequest(0xFEDCBA98),
    "token reply": peer.TokenReply(LEAVING, 3.5, True),
    "confirmation": peer.Confirmation(2**63 + 5, 0.625, 77, True, 0.375, CHANGES),
    "confirmation without changes": peer.Confirmation(1, 0.5, 1, False, 0.0, LIST_CHANGES),
    "changes request": peer.ChangesRequest(7, 70_000),
    "changes reply": peer.ChangesReply(CHANGES),
    "confirmations request": peer.ConfirmationsRequest(),
    "back end unreachable": peer.BackendUnreachable("i-7f3a91c2"),
    "request unanswered": peer.RequestUnanswered("i-2"),
    "back end failing": peer.BackendFailing("i-3", 4.25),
}
SHORT_PEER_DATAGRAMS = {
    "heartbeat without hall": peer.Heartbeat(7, 412, False, ()),
    "token reply without leave": peer.TokenReply(READY, 0.0),
}
"""Datagrams without their last fields, as sent by earlier versions that lack these fields."""

SNAPSHOT = peer.Snapshot(CONFIGURATION, 1.25, KNOWN, 0.5, 500, EVACUATED)
DELTAS = (SMALL_DELTA, LARGE_DELTA)
STREAM_REQUESTS = {"snapshot request": peer.SnapshotRequest(), "routes request": peer.RoutesRequest(6)}
STREAM_ANSWERS = {"snapshot request": SNAPSHOT, "routes request": DELTAS}

FLOW = FlowKey("198.18.0.1:443", "100.64.0.7:40001", 2**64 - 3)
OWN_PACKETS = {
    "caller packet": CallerPacket(
        CallerPacketKind.REQUEST, FLOW, 2**40, 3, False, 2_500, b"\x00GET", 0xFEDCBA98
    ),
    "caller packet opening": CallerPacket(CallerPacketKind.OPEN, FLOW),
    "caller packet cancelling": CallerPacket(CallerPacketKind.CANCEL, FLOW, 7, 1, True),
    "caller packet closing": CallerPacket(CallerPacketKind.CLOSE, FLOW, token=5),
    "caller packet keeping alive": CallerPacket(CallerPacketKind.KEEPALIVE, FLOW, token=6),
    "caller reply": CallerReply(
        CallerReplyKind.REFUSED, FLOW, 9, 4, 1, 3, Reason.NO_PERMITTED_BACKEND, 1_500, b"why", 0xFEDCBA98
    ),
    "caller reply opened": CallerReply(CallerReplyKind.OPENED, FLOW, token=5),
    "caller reply answer": CallerReply(CallerReplyKind.ANSWER, FLOW, 9, 4, 2, 3, payload=b"data"),
    "caller reply unknown": CallerReply(CallerReplyKind.UNKNOWN, FLOW, 9, reason=Reason.BACKEND_SILENT),
    "caller reply push": CallerReply(CallerReplyKind.PUSH, FLOW, payload=b"feed"),
    "caller reply flow lost": CallerReply(CallerReplyKind.FLOW_LOST, FLOW, reason=Reason.BACKEND_GONE),
    "caller reply alive": CallerReply(CallerReplyKind.ALIVE, FLOW),
    "back end packet": BackendPacket(
        CallerPacketKind.REQUEST, FLOW, 2**40, 2**31 - 1, 2_500, b"\x00GET", 0xFEDCBA98
    ),
    "back end packet opening": BackendPacket(CallerPacketKind.OPEN, FLOW, token=5),
    "back end reply": BackendReply(
        BackendReplyKind.ANSWER, FLOW, 9, 4, 1, 3, b"data", LoadReport(12, 3_000), 0xFEDCBA98
    ),
    "back end reply opened": BackendReply(BackendReplyKind.OPENED, FLOW),
    "back end reply refused": BackendReply(BackendReplyKind.REFUSED, FLOW, 9),
    "back end reply push": BackendReply(BackendReplyKind.PUSH, FLOW, payload=b"feed"),
    "back end reply flow unknown": BackendReply(BackendReplyKind.FLOW_UNKNOWN, FLOW, 9),
    "back end reply cancelled": BackendReply(BackendReplyKind.CANCELLED, FLOW, 9),
    "back end reply alive": BackendReply(BackendReplyKind.ALIVE, FLOW, load=LoadReport(0, 1)),
}
OWN_MESSAGES = {
    "configuration requested": ConfigurationRequested(41, 42, 3),
    "configuration part": ConfigurationPart(42, "0123abcd", 41, 3, 9, b"\x00part\xff"),
    "configuration offered": ConfigurationOffered(70_000, "89abcdef"),
}
OWN_NUMBERS = {
    "caller packet kind": CallerPacketKind,
    "caller reply kind": CallerReplyKind,
    "back end reply kind": BackendReplyKind,
    "reason": Reason,
    "back end state": BackendState,
}
REASONS_OF_REPLICAS = (10, 11)
"""Retired reasons of the replicated flow table; their names may be removed, their numbers stay unused."""

OPENING = Segment(0x64400007, 40001, 0xC6120001, 443, 0x11223344, 2, 0, True, False, False, 0)
LAST = Segment(0x64400007, 40001, 0xC6120001, 443, 5, 0xFFFFFFF0, 0, False, True, False, 9)
TARGET = ForwardingBackend(READY, 0.0)
OTHER_TARGETS = {
    "opening to a back end with a long identity": ForwardingBackend(LEAVING, 0.0),
    "opening to a back end whose identity folds to 0": ForwardingBackend(
        BackendRecord("i-4", 2**32 + 1, "a", "10.128.0.12", 80, "h", 1, BackendState.READY), 0.0
    ),
}
STORE_CALLS = {
    "read of routes": (ReadSubject(Subject.ROUTES), ""),
    "read of back ends": (ReadSubject(Subject.BACKENDS), ""),
    "stale read of back ends": (ReadSubject(Subject.BACKENDS, True), ""),
    "next page of back ends": (ReadSubject(Subject.BACKENDS, True), "servers/i-7f3a91c2 ö&"),
}
STORE_WATCHES = {
    "watch of routes": WatchSubject(Subject.ROUTES, 412, 4.0),
    "watch of back ends": WatchSubject(Subject.BACKENDS, 2**40, 0.25),
}


class AnsweringNode:
    """The parts of a node that a peer channel uses: counters and answers."""

    def __init__(self):
        self.counters = ForwardingCounters()

    def snapshot_for_peer(self, now):
        """Return the snapshot."""
        return SNAPSHOT

    def routes_since(self, version):
        """Return the deltas since a version."""
        return DELTAS if version == SMALL_DELTA.base else ()


def to_send(ip, message):
    """Return the command that sends a datagram."""
    return SendToPeer(ip, message)


def to_fetch(ip, request):
    """Return the command that sends a request on a stream."""
    if request == "snapshot request":
        return FetchSnapshot(ip)
    return FetchRoutes(ip, SMALL_DELTA.base)


def received(ip, message):
    """Return the event for a received datagram."""
    return PeerMessageReceived(ip, message)


def answered(ip, request):
    """Return the event for an answer to a request."""
    if request == "snapshot request":
        return SnapshotReceived(ip, SNAPSHOT)
    return RoutesReceived(ip, DELTAS)

"""Stand-in client: the flows of many callers over one UDP socket, through the fabric.

Owns: the socket, the flows and their deadlines.  Relies on: `CallerFlow` for what a flow sends.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Sequence

import trio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from sloepond.core.deadlines import NEVER
from sloepond.core.packets import CallerPacket, FlowKey
from sloepond.runtime.addresses import format_address, parse_address
from sloepond.runtime.clock import monotonic_seconds
from sloepond.runtime.datagram_socket import DatagramSocket
from sloepond.standins.caller_model import CallerFlow
from sloepond.standins.caller_plan import CallerSettings
from sloepond.standins.caller_report import CallerReport, progress_of
from sloepond.standins.http import json_response, make_application
from sloepond.standins.waiting import seconds_until
from sloepond.standins.workload import PlannedFlow
from sloepond.wire.edge import MAXIMUM_PACKET_BYTES, decode_caller_reply, encode_packet
from sloepond.wire.failures import DecodeFailure

PROGRESS_PATH = "/progress"
REPORT_PATH = "/report"

_INCARNATION_BITS = 48
"""Random bits of a flow key: among 300 flows the probability of a collision is below 2**-31."""


class Client:
    """Runs planned flows until all have ended.

    :ivar malformed: datagrams that could not be decoded as a reply.
    :ivar unmatched: replies for flows that this client did not open.
    """

    def __init__(
        self,
        planned: Sequence[PlannedFlow],
        settings: CallerSettings,
        random_source: random.Random,
    ) -> None:
        self.malformed = 0
        self.unmatched = 0
        self._planned = tuple(planned)
        self._settings = settings
        self._random = random_source
        self._flows: dict[FlowKey, CallerFlow] = {}
        self._open: set[FlowKey] = set()
        self._scheduled: dict[FlowKey, float] = {}
        self._deadlines: list[tuple[float, int, CallerFlow]] = []
        self._number = 0
        self._started_at = 0.0
        self.application = make_application(
            [
                Route(PROGRESS_PATH, self._read_progress, methods=["GET"]),
                Route(REPORT_PATH, self._read_report, methods=["GET"]),
            ]
        )

    def report(self) -> CallerReport:
        """Return the records of all flows opened so far."""
        return CallerReport(tuple(flow.record for flow in self._flows.values()))

    async def run(self, address: str, fabric_address: str) -> None:
        """Open all flows and return when the last one has ended.

        :param address: `ip:port` to send from; port 0 takes a free port.
        """
        udp_socket = DatagramSocket(address, MAXIMUM_PACKET_BYTES)
        self._started_at = monotonic_seconds()
        try:
            while not self._is_finished():
                with trio.move_on_after(seconds_until(self._next_deadline())):
                    await udp_socket.wait_readable()
                self._send(self._step(udp_socket), udp_socket, fabric_address)
        finally:
            udp_socket.close()

    def _is_finished(self) -> bool:
        return len(self._flows) == len(self._planned) and not self._open

    def _next_deadline(self) -> float:
        deadline = self._deadlines[0][0] if self._deadlines else NEVER
        return min(deadline, self._next_opening())

    def _next_opening(self) -> float:
        opened = len(self._flows)
        if opened == len(self._planned):
            return NEVER
        return self._started_at + self._planned[opened].opens_at

    def _step(self, udp_socket: DatagramSocket) -> list[CallerPacket]:
        packets: list[CallerPacket] = []
        for datagram, _ in udp_socket.receive_batch():
            packets += self._handle_datagram(datagram)
        now = monotonic_seconds()
        while self._next_opening() <= now:
            packets += self._open_next(format_address(udp_socket.local_address), now)
        while self._deadlines and self._deadlines[0][0] <= now:
            due, _, flow = heapq.heappop(self._deadlines)
            packets += self._handle_deadline(flow, due, now)
        return packets

    def _handle_deadline(self, flow: CallerFlow, due: float, now: float) -> list[CallerPacket]:
        if self._scheduled.get(flow.record.flow) != due:
            return []
        del self._scheduled[flow.record.flow]
        packets = flow.on_timer(now)
        self._schedule(flow)
        return packets

    def _handle_datagram(self, datagram: bytes) -> list[CallerPacket]:
        reply = decode_caller_reply(datagram)
        if isinstance(reply, DecodeFailure):
            self.malformed += 1
            return []
        flow = self._flows.get(reply.flow)
        if flow is None:
            self.unmatched += 1
            return []
        packets = flow.handle(reply, monotonic_seconds())
        self._schedule(flow)
        return packets

    def _open_next(self, own_address: str, now: float) -> list[CallerPacket]:
        planned = self._planned[len(self._flows)]
        incarnation = self._random.getrandbits(_INCARNATION_BITS)
        key = FlowKey(planned.service.address, own_address, incarnation)
        flow = CallerFlow(key, planned.service.name, planned.plan, self._settings)
        self._flows[key] = flow
        self._open.add(key)
        packets = flow.start(now)
        self._schedule(flow)
        return packets

    def _schedule(self, flow: CallerFlow) -> None:
        """Schedule `flow` at its next deadline, unless it is scheduled earlier already."""
        key = flow.record.flow
        if flow.is_finished:
            self._open.discard(key)
            return
        deadline = flow.next_deadline()
        if deadline >= self._scheduled.get(key, NEVER):
            return
        self._scheduled[key] = deadline
        self._number += 1
        heapq.heappush(self._deadlines, (deadline, self._number, flow))

    def _send(self, packets: list[CallerPacket], udp_socket: DatagramSocket, fabric_address: str) -> None:
        for packet in packets:
            udp_socket.send(encode_packet(packet), parse_address(fabric_address))

    async def _read_progress(self, _request: Request) -> Response:
        records = [flow.record for flow in self._flows.values()]
        return json_response(progress_of(records, len(self._planned)))

    async def _read_report(self, _request: Request) -> Response:
        return json_response(self.report())

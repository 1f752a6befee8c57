"""Cost of established and of new flows on a formed cell."""

from __future__ import annotations

import itertools

from sloepond.core.packets import (
    BackendPacket,
    BackendReply,
    BackendReplyKind,
    CallerPacket,
    CallerPacketKind,
    CallerReplyKind,
    FlowKey,
    LoadReport,
)
from sloepond.lab.bench.bare_loop import PAYLOAD
from sloepond.lab.bench.cell import MeasuredCell
from sloepond.lab.bench.figures import PathFigure
from sloepond.lab.bench.setting import SERVICE_ADDRESS
from sloepond.runtime.addresses import format_address
from sloepond.runtime.datagram_socket import BATCH_DATAGRAMS
from sloepond.wire.edge import decode_backend_packet, decode_caller_reply, encode_packet
from sloepond.wire.failures import DecodeFailure

LOAD = LoadReport(in_flight=1, flows=100)

_REPLY_KINDS = {
    CallerPacketKind.OPEN: BackendReplyKind.OPENED,
    CallerPacketKind.REQUEST: BackendReplyKind.ANSWER,
    CallerPacketKind.KEEPALIVE: BackendReplyKind.ALIVE,
}


class PathMeasure:
    """Sends batches of packets through a cell and answers as its back ends.

    Packets go to the balancers in turn, as the fabric sprays them.
    """

    def __init__(self, cell: MeasuredCell) -> None:
        self._cell = cell
        self._caller_address = format_address(cell.callers.local_address)
        self._incarnations = itertools.count(1)
        self._request_ids: dict[FlowKey, int] = {}
        self._replies: list[CallerReplyKind] = []

    async def measure_opening(self, name: str, rounds: int) -> PathFigure:
        """Open `rounds` batches of 64 flows; the items are flows."""
        self._cell.restart_stopwatches()
        opened = 0
        for _ in range(rounds):
            flows = [self._new_flow() for _ in range(BATCH_DATAGRAMS)]
            await self._exchange([CallerPacket(CallerPacketKind.OPEN, flow) for flow in flows])
            self._request_ids.update(dict.fromkeys(flows, 0))
            opened += self._replies.count(CallerReplyKind.OPENED)
        return PathFigure(name, opened, self._cell.seconds)

    async def measure_requests(self, name: str, rounds: int, repeatable: bool) -> PathFigure:
        """Send `rounds` batches of requests on open flows.

        The items are packets: each request and its answer are one each.
        """
        self._cell.restart_stopwatches()
        answered = 0
        flows = itertools.cycle(list(self._request_ids))
        for _ in range(rounds):
            batch = itertools.islice(flows, BATCH_DATAGRAMS)
            await self._exchange([self._request(flow, repeatable) for flow in batch])
            answered += self._replies.count(CallerReplyKind.ANSWER)
        return PathFigure(name, 2 * answered, self._cell.seconds)

    async def measure_keepalives(self, name: str, rounds: int) -> PathFigure:
        """Send `rounds` batches of keepalives on open flows; the items are packets."""
        self._cell.restart_stopwatches()
        answered = 0
        flows = itertools.cycle(list(self._request_ids))
        for _ in range(rounds):
            batch = itertools.islice(flows, BATCH_DATAGRAMS)
            packets = [CallerPacket(CallerPacketKind.KEEPALIVE, flow, payload=PAYLOAD) for flow in batch]
            await self._exchange(packets)
            answered += self._replies.count(CallerReplyKind.ALIVE)
        return PathFigure(name, 2 * answered, self._cell.seconds)

    def _new_flow(self) -> FlowKey:
        return FlowKey(SERVICE_ADDRESS, self._caller_address, next(self._incarnations))

    def _request(self, flow: FlowKey, repeatable: bool) -> CallerPacket:
        self._request_ids[flow] += 1
        return CallerPacket(
            CallerPacketKind.REQUEST,
            flow,
            request_id=self._request_ids[flow],
            repeatable=repeatable,
            payload=PAYLOAD,
        )

    async def _exchange(self, packets: list[CallerPacket]) -> None:
        """Send packets and run the cell and its back ends until nothing moves."""
        balancers = itertools.cycle(self._cell.balancers)
        for packet, balancer in zip(packets, balancers, strict=False):
            self._cell.callers.send(encode_packet(packet), balancer.edge_address)
        self._replies = []
        await self._cell.run()
        while self._answer_as_backends():
            await self._cell.run()
        self._collect_replies()

    def _answer_as_backends(self) -> int:
        answered = 0
        for backend in self._cell.backends:
            for datagram, source in backend.receive_batch():
                packet = decode_backend_packet(datagram)
                if not isinstance(packet, DecodeFailure):
                    backend.send(encode_packet(_reply_to(packet)), source)
                    answered += 1
        return answered

    def _collect_replies(self) -> None:
        while True:
            decoded = [decode_caller_reply(item) for item, _ in self._cell.callers.receive_batch()]
            if not decoded:
                return
            self._replies += [reply.kind for reply in decoded if not isinstance(reply, DecodeFailure)]


def _reply_to(packet: BackendPacket) -> BackendReply:
    return BackendReply(
        kind=_REPLY_KINDS[packet.kind],
        flow=packet.flow,
        request_id=packet.request_id,
        attempt=packet.attempt,
        payload=PAYLOAD,
        load=LOAD,
    )

"""Cost of established and of new flows on a formed cell."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from sloepond.core.packets import (
    CallerPacket,
    CallerPacketKind,
    CallerReplyKind,
    FlowKey,
)
from sloepond.lab.bench.bare_loop import PAYLOAD, BareLoop
from sloepond.lab.bench.cell import MeasuredCell
from sloepond.lab.bench.figures import PathFigure
from sloepond.lab.bench.setting import SERVICE_ADDRESS
from sloepond.runtime.addresses import format_address
from sloepond.runtime.datagram_socket import BATCH_DATAGRAMS
from sloepond.wire.edge import decode_caller_reply, encode_packet
from sloepond.wire.failures import DecodeFailure

PACKETS_PER_EXCHANGE = 2
"""A packet of the caller and the back end's reply."""


class PathMeasure:
    """Sends batches of packets through a cell and answers as its back ends.

    Packets go to the balancers in turn, as the fabric sprays them.  Beside each
    batch the bare loop handles one, so that both meet the same machine.
    """

    def __init__(self, cell: MeasuredCell, bare_loop: BareLoop) -> None:
        self._cell = cell
        self._bare_loop = bare_loop
        self._caller_address = format_address(cell.callers.local_address)
        self._incarnations = itertools.count(1)
        self._request_ids: dict[FlowKey, int] = {}

    async def measure_opening(self, rounds: int) -> PathFigure:
        """Open `rounds` batches of 64 flows; the items are flows."""

        def make_batch() -> list[CallerPacket]:
            flows = [self._new_flow() for _ in range(BATCH_DATAGRAMS)]
            self._request_ids.update(dict.fromkeys(flows, 0))
            return [CallerPacket(CallerPacketKind.OPEN, flow) for flow in flows]

        return await self._measure(make_batch, CallerReplyKind.OPENED, rounds, 1)

    async def measure_requests(self, rounds: int, repeatable: bool) -> PathFigure:
        """Send `rounds` batches of requests on open flows.

        The items are packets: each request and its answer are one each.
        """
        flows = itertools.cycle(list(self._request_ids))

        def make_batch() -> list[CallerPacket]:
            return [self._request(flow, repeatable) for flow in itertools.islice(flows, BATCH_DATAGRAMS)]

        return await self._measure(make_batch, CallerReplyKind.ANSWER, rounds, PACKETS_PER_EXCHANGE)

    async def measure_keepalives(self, rounds: int) -> PathFigure:
        """Send `rounds` batches of keepalives on open flows; the items are packets."""
        flows = itertools.cycle(list(self._request_ids))

        def make_batch() -> list[CallerPacket]:
            batch = itertools.islice(flows, BATCH_DATAGRAMS)
            return [CallerPacket(CallerPacketKind.KEEPALIVE, flow, payload=PAYLOAD) for flow in batch]

        return await self._measure(make_batch, CallerReplyKind.ALIVE, rounds, PACKETS_PER_EXCHANGE)

    async def _measure(
        self,
        make_batch: Callable[[], list[CallerPacket]],
        expected: CallerReplyKind,
        rounds: int,
        items_per_reply: int,
    ) -> PathFigure:
        self._cell.restart_stopwatches()
        bare_packets = self._bare_loop.packets
        bare_seconds = self._bare_loop.stopwatch.seconds
        items = 0
        for _ in range(rounds):
            replies = await self._exchange(make_batch())
            items += replies.count(expected) * items_per_reply
            await self._bare_loop.run_batch()
        return PathFigure(
            items=items,
            processor_s=self._cell.seconds,
            bare_packets=self._bare_loop.packets - bare_packets,
            bare_processor_s=self._bare_loop.stopwatch.seconds - bare_seconds,
        )

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

    async def _exchange(self, packets: list[CallerPacket]) -> list[CallerReplyKind]:
        """Send packets and run the cell and its back ends until nothing moves."""
        balancers = itertools.cycle(self._cell.balancers)
        for packet, balancer in zip(packets, balancers, strict=False):
            self._cell.callers.send(encode_packet(packet), balancer.edge_address)
        await self._cell.run_with_backends()
        return self._collect_replies()

    def _collect_replies(self) -> list[CallerReplyKind]:
        kinds: list[CallerReplyKind] = []
        while True:
            decoded = [decode_caller_reply(item) for item, _ in self._cell.callers.receive_batch()]
            if not decoded:
                return kinds
            kinds += [reply.kind for reply in decoded if not isinstance(reply, DecodeFailure)]

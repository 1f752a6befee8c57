"""Stand-in for the fabric: a UDP socket that sprays callers' datagrams over balancers.

Balancers reply to callers directly.  `PUT /standin/balancers` replaces the set of balancers.
If a platform is given, its list of live machines is polled as well, so that changes reach the
fabric with a delay.
"""

from __future__ import annotations

import heapq

import httpx
import msgspec
import trio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from sloepond.core.deadlines import NEVER
from sloepond.runtime.addresses import format_address, parse_address
from sloepond.runtime.datagram_socket import DatagramSocket
from sloepond.standins.fabric_model import Balancer, Delivery, FabricModel
from sloepond.standins.http import (
    STATUS_BAD_REQUEST,
    RequestRefused,
    json_response,
    make_application,
    read_json,
    serve_http,
)
from sloepond.standins.platform import MACHINES_PATH, MachineList
from sloepond.wire.edge import MAXIMUM_PACKET_BYTES

BALANCERS_PATH = "/standin/balancers"
COUNTERS_PATH = "/standin/counters"


class BalancerList(msgspec.Struct, frozen=True):
    """Body of `PUT /standin/balancers`."""

    balancers: tuple[Balancer, ...]


class FabricStarted(msgspec.Struct, frozen=True):
    """Addresses at which a fabric listens: UDP `ip:port` and HTTP URL."""

    address: str
    control_url: str


class Fabric:
    """Forwards datagrams and serves the control interface."""

    def __init__(self, model: FabricModel, platform_url: str, poll_interval_s: float) -> None:
        """Prepare a fabric.

        :param platform_url: URL of the platform whose machine list is polled; empty for none.
        """
        self._model = model
        self._platform_url = platform_url
        self._poll_interval_s = poll_interval_s
        self._pending: list[tuple[float, int, Delivery]] = []
        self._number = 0
        self.application = make_application(
            [
                Route(BALANCERS_PATH, self._set_balancers, methods=["PUT"]),
                Route(COUNTERS_PATH, self._read_counters, methods=["GET"]),
            ]
        )

    async def run(
        self,
        address: str,
        control_address: str,
        task_status: trio.TaskStatus[FabricStarted] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until cancelled; the started value contains the addresses."""
        udp_socket = DatagramSocket(address, MAXIMUM_PACKET_BYTES)
        async with trio.open_nursery() as nursery:
            url = await nursery.start(serve_http, self.application, control_address)
            if self._platform_url:
                nursery.start_soon(self._poll_machines)
            task_status.started(FabricStarted(format_address(udp_socket.local_address), url))
            await self._move_datagrams(udp_socket)

    async def _move_datagrams(self, udp_socket: DatagramSocket) -> None:
        while True:
            deadline = self._pending[0][0] if self._pending else NEVER
            with trio.move_on_at(deadline):
                await udp_socket.wait_readable()
            for datagram, _ in udp_socket.receive_batch():
                self._enqueue(self._model.deliver(datagram, trio.current_time()))
            self._send_due(udp_socket)

    def _enqueue(self, deliveries: list[Delivery]) -> None:
        for delivery in deliveries:
            self._number += 1
            heapq.heappush(self._pending, (delivery.due, self._number, delivery))

    def _send_due(self, udp_socket: DatagramSocket) -> None:
        while self._pending and self._pending[0][0] <= trio.current_time():
            _, _, delivery = heapq.heappop(self._pending)
            udp_socket.send(delivery.datagram, parse_address(delivery.address))

    async def _poll_machines(self) -> None:
        async with httpx.AsyncClient(base_url=self._platform_url) as client:
            while True:
                await self._read_machines(client)
                await trio.sleep(self._poll_interval_s)

    async def _read_machines(self, client: httpx.AsyncClient) -> None:
        try:
            response = await client.get(MACHINES_PATH)
            response.raise_for_status()
            machines = msgspec.json.decode(response.content, type=MachineList)
        except (httpx.HTTPError, msgspec.MsgspecError):
            return  # The stand-in platform may be down on purpose; the last list that was read stays in use.
        self._model.set_live_names([member.name for member in machines.members])

    async def _set_balancers(self, request: Request) -> Response:
        wanted = await read_json(request, BalancerList)
        if isinstance(wanted, RequestRefused):
            return json_response(wanted, STATUS_BAD_REQUEST)
        self._model.set_balancers(wanted.balancers)
        return json_response(wanted)

    async def _read_counters(self, _request: Request) -> Response:
        return json_response(self._model.counters)

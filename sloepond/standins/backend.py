"""Stand-in back ends: each is a UDP socket in front of a `BackendModel`.

One process may run several.  `GET /executions` returns every request that was
started, so that a checker can compare it with the replies callers received.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import trio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from sloepond.runtime.addresses import SocketAddress, format_address, parse_address
from sloepond.runtime.clock import monotonic_seconds
from sloepond.runtime.datagram_socket import DatagramSocket
from sloepond.standins.backend_model import BackendModel
from sloepond.standins.backend_record import BackendCounters, BackendOutput, Execution
from sloepond.standins.http import (
    STATUS_BAD_REQUEST,
    STATUS_NOT_FOUND,
    RequestRefused,
    json_response,
    make_application,
    read_json,
    serve_http,
)
from sloepond.standins.waiting import seconds_until
from sloepond.wire.edge import MAXIMUM_PACKET_BYTES, decode_backend_packet, encode_packet
from sloepond.wire.failures import DecodeFailure

EXECUTIONS_PATH = "/executions"
BACKENDS_PATH = "/standin/backends"


class HostedBackend(msgspec.Struct, frozen=True):
    """A back end and the address `ip:port` it listens on."""

    address: str
    model: BackendModel


class ExecutionLog(msgspec.Struct, frozen=True):
    """Body of `GET /executions`."""

    executions: tuple[Execution, ...]


class DrainRequest(msgspec.Struct, frozen=True):
    """Body of `PUT /standin/backends/NAME`."""

    draining: bool


class BackendStatus(msgspec.Struct, frozen=True):
    """State of one back end as reported by its own process."""

    name: str
    service: str
    draining: bool
    flows: int
    in_flight: int
    counters: BackendCounters


class BackendList(msgspec.Struct, frozen=True):
    """Body of `GET /standin/backends`."""

    backends: tuple[BackendStatus, ...]


class BackendHost:
    """Runs back ends in one process and serves the control interface.

    :ivar malformed: datagrams that could not be decoded.
    """

    def __init__(self, backends: Sequence[HostedBackend]) -> None:
        self._backends = tuple(backends)
        self.malformed = 0
        self.application = make_application(
            [
                Route(EXECUTIONS_PATH, self._read_executions, methods=["GET"]),
                Route(BACKENDS_PATH, self._read_backends, methods=["GET"]),
                Route(f"{BACKENDS_PATH}/{{name}}", self._set_draining, methods=["PUT"]),
            ]
        )

    async def run(
        self,
        control_address: str,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until cancelled; the started value is the URL of the control interface."""
        async with trio.open_nursery() as nursery:
            for backend in self._backends:
                udp_socket = DatagramSocket(backend.address, MAXIMUM_PACKET_BYTES)
                nursery.start_soon(self._serve, backend.model, udp_socket)
            url = await nursery.start(serve_http, self.application, control_address)
            task_status.started(url)

    async def _serve(self, model: BackendModel, udp_socket: DatagramSocket) -> None:
        while True:
            with trio.move_on_after(seconds_until(model.next_deadline())):
                await udp_socket.wait_readable()
            for datagram, source in udp_socket.receive_batch():
                self._send(self._handle_datagram(model, datagram, source), udp_socket)
            self._send(model.on_timer(monotonic_seconds()), udp_socket)

    def _handle_datagram(
        self, model: BackendModel, datagram: bytes, source: SocketAddress
    ) -> list[BackendOutput]:
        packet = decode_backend_packet(datagram)
        if isinstance(packet, DecodeFailure):
            self.malformed += 1
            return []
        return model.handle(packet, format_address(source), monotonic_seconds())

    def _send(self, outputs: list[BackendOutput], udp_socket: DatagramSocket) -> None:
        for output in outputs:
            udp_socket.send(encode_packet(output.reply), parse_address(output.destination))

    async def _read_executions(self, _request: Request) -> Response:
        executions = [item for backend in self._backends for item in backend.model.executions]
        return json_response(ExecutionLog(tuple(executions)))

    async def _read_backends(self, _request: Request) -> Response:
        return json_response(BackendList(tuple(_status(item.model) for item in self._backends)))

    async def _set_draining(self, request: Request) -> Response:
        wanted = await read_json(request, DrainRequest)
        if isinstance(wanted, RequestRefused):
            return json_response(wanted, STATUS_BAD_REQUEST)
        name = request.path_params["name"]
        for backend in self._backends:
            if backend.model.identity.name == name:
                backend.model.draining = wanted.draining
                return json_response(_status(backend.model))
        return json_response(RequestRefused(f"no back end {name} here"), STATUS_NOT_FOUND)


def _status(model: BackendModel) -> BackendStatus:
    return BackendStatus(
        name=model.identity.name,
        service=model.identity.service,
        draining=model.draining,
        flows=model.flows,
        in_flight=model.in_flight,
        counters=model.counters,
    )

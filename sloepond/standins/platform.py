"""Stand-in for the platform: configuration service and list of live machines.

Balancers only read.  Operators' tools write, as they would through the platform's
own interface.  All data is kept in memory.  `PUT /standin/mode` injects faults: down
(every response is 503) or stale (reads return an older generation, writes are accepted).
"""

from __future__ import annotations

import enum

import msgspec
import trio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from sloepond.core.messages import Member
from sloepond.resources.content import make_snapshot
from sloepond.resources.findings import Finding
from sloepond.resources.model import ConfigurationSnapshot, Resource
from sloepond.resources.validation import validate_values
from sloepond.standins.http import (
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    STATUS_NOT_MODIFIED,
    STATUS_UNAVAILABLE,
    RequestRefused,
    json_response,
    make_application,
    read_json,
    serve_http,
)

CONFIGURATION_PATH = "/v1/configuration"
MACHINES_PATH = "/v1/machines"
MODE_PATH = "/standin/mode"

_REQUEST_SOURCE = "request"


class PlatformMode(enum.StrEnum):
    """Working state of the platform; all but `UP` are injected faults."""

    UP = "up"
    DOWN = "down"
    STALE = "stale"


class ModeRequest(msgspec.Struct, frozen=True):
    """Body of `PUT /standin/mode`; stale reads return `generation`."""

    mode: PlatformMode
    generation: int | None = None


class MachineList(msgspec.Struct, frozen=True):
    """Body of reads and writes of the list of machines."""

    members: tuple[Member, ...] = ()


class ConfigurationWrite(msgspec.Struct, frozen=True):
    """Body of a write of the configuration.

    :ivar resources: all resources, not yet validated.
    :ivar base_generation: generation that the write is based on; None accepts any.
    """

    resources: list[msgspec.Raw]
    base_generation: int | None = None


class ConfigurationWritten(msgspec.Struct, frozen=True):
    """Body of the response to a write: the generation that is stored now."""

    generation: int
    digest: str


class WriteRefused(msgspec.Struct, frozen=True):
    """Body of the response to a refused write, with all findings."""

    findings: tuple[Finding, ...]


class PlatformState:
    """Configuration generations, machine list and mode, without HTTP."""

    def __init__(self) -> None:
        self.mode = PlatformMode.UP
        self.machines = MachineList()
        self._generations = [make_snapshot(0, [])]
        self._stale_generation: int | None = None

    @property
    def latest(self) -> ConfigurationSnapshot:
        """The latest generation; number 0 before the first write."""
        return self._generations[-1]

    @property
    def readable(self) -> ConfigurationSnapshot:
        """The generation that reads return."""
        if self.mode is not PlatformMode.STALE or self._stale_generation is None:
            return self.latest
        return self._generations[self._stale_generation]

    def set_mode(self, request: ModeRequest) -> RequestRefused | None:
        """Change the mode; return the reason if the request is refused.

        A stale mode without a generation freezes the latest one.
        """
        generation = self.latest.generation if request.generation is None else request.generation
        if not 0 <= generation <= self.latest.generation:
            return RequestRefused(f"generation {generation} does not exist")
        self.mode = request.mode
        self._stale_generation = generation
        return None

    def write(self, resources: tuple[Resource, ...], base_generation: int | None) -> bool:
        """Store a new generation; return False if the base is not the latest one."""
        generation = self.latest.generation
        if base_generation is not None and base_generation != generation:
            return False
        self._generations.append(make_snapshot(generation + 1, list(resources)))
        return True


class PlatformService:
    """HTTP interface of a `PlatformState`."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state
        self.application = make_application(
            [
                Route(CONFIGURATION_PATH, self._read_configuration, methods=["GET"]),
                Route(CONFIGURATION_PATH, self._write_configuration, methods=["PUT"]),
                Route(MACHINES_PATH, self._read_machines, methods=["GET"]),
                Route(MACHINES_PATH, self._write_machines, methods=["PUT"]),
                Route(MODE_PATH, self._set_mode, methods=["PUT"]),
            ]
        )

    async def _read_configuration(self, request: Request) -> Response:
        if self._state.mode is PlatformMode.DOWN:
            return _unavailable()
        snapshot = self._state.readable
        if request.query_params.get("known_generation") == str(snapshot.generation):
            return Response(status_code=STATUS_NOT_MODIFIED)
        return json_response(snapshot)

    async def _write_configuration(self, request: Request) -> Response:
        if self._state.mode is PlatformMode.DOWN:
            return _unavailable()
        write = await read_json(request, ConfigurationWrite)
        if isinstance(write, RequestRefused):
            finding = Finding(_REQUEST_SOURCE, 0, 0, "", write.reason)
            return json_response(WriteRefused((finding,)), STATUS_BAD_REQUEST)
        values = [msgspec.json.decode(value) for value in write.resources]
        validated = validate_values(values, _REQUEST_SOURCE)
        if validated.findings:
            return json_response(WriteRefused(validated.findings), STATUS_BAD_REQUEST)
        is_stored = self._state.write(validated.resources, write.base_generation)
        latest = self._state.latest
        written = ConfigurationWritten(latest.generation, latest.digest)
        return json_response(written) if is_stored else json_response(written, STATUS_CONFLICT)

    async def _read_machines(self, _request: Request) -> Response:
        if self._state.mode is PlatformMode.DOWN:
            return _unavailable()
        return json_response(self._state.machines)

    async def _write_machines(self, request: Request) -> Response:
        machines = await read_json(request, MachineList)
        if isinstance(machines, RequestRefused):
            return json_response(machines, STATUS_BAD_REQUEST)
        self._state.machines = machines
        return json_response(machines)

    async def _set_mode(self, request: Request) -> Response:
        mode = await read_json(request, ModeRequest)
        refused = mode if isinstance(mode, RequestRefused) else self._state.set_mode(mode)
        if refused is not None:
            return json_response(refused, STATUS_BAD_REQUEST)
        return json_response(mode)


def _unavailable() -> Response:
    return json_response(RequestRefused("the platform is down"), STATUS_UNAVAILABLE)


async def run_platform(
    address: str,
    state: PlatformState,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the platform until cancelled; the started value is the URL."""
    await serve_http(PlatformService(state).application, address, task_status)

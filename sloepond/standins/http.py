"""HTTP server of the stand-ins: hypercorn and starlette on trio, JSON by msgspec.

Stateless.  All stand-ins use these functions, so that they serve `/readyz`, reject malformed
bodies and encode JSON in the same way.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, TypeVar

import hypercorn.config
import hypercorn.trio
import msgspec
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import BaseRoute, Route

READY_PATH = "/readyz"
STATUS_OK = 200
STATUS_NOT_MODIFIED = 304
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503

_Content = TypeVar("_Content")


class RequestRefused(msgspec.Struct, frozen=True):
    """Body of the response to a refused request."""

    reason: str


def json_response(content: object, status: int = STATUS_OK) -> Response:
    """Return `content` (a msgspec struct) as a JSON response."""
    return Response(msgspec.json.encode(content), status, media_type="application/json")


async def read_json(request: Request, expected: type[_Content]) -> _Content | RequestRefused:
    """Return the body of `request` decoded as `expected`, or the reason why it cannot be decoded."""
    try:
        return msgspec.json.decode(await request.body(), type=expected)
    except (msgspec.MsgspecError, ValueError) as error:
        return RequestRefused(str(error))


def make_application(routes: Sequence[BaseRoute]) -> Starlette:
    """Return an application that serves `routes` and `/readyz`."""
    return Starlette(routes=[Route(READY_PATH, _ready), *routes])


async def _ready(_request: Request) -> Response:
    return PlainTextResponse("ready\n")


async def serve_http(
    application: Starlette,
    address: str,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; the started value is the URL.

    :param address: `ip:port`; port 0 takes a free port.
    """
    config = hypercorn.config.Config()
    config.bind = [address]
    config.graceful_timeout = 0.1
    config.loglevel = "WARNING"
    config.errorlog = None
    async with trio.open_nursery() as nursery:
        served: Any = application
        binds = await nursery.start(hypercorn.trio.serve, served, config)
        task_status.started(binds[0])

"""A proxy to the platform that delays reads, so that a command writes from an outdated read.

Owns: whether reads are still delayed.  Requests and responses are forwarded unchanged.
"""

from __future__ import annotations

import httpx
import trio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from sloepond.standins.http import make_application, serve_http
from sloepond.standins.platform import CONFIGURATION_PATH


class DelayedReadProxy:
    """Forwards requests to the platform; reads are answered once `release` is called.

    :param http: client for the requests to the platform.
    :param platform_url: URL of the platform.
    """

    def __init__(self, http: httpx.AsyncClient, platform_url: str) -> None:
        self._http = http
        self._platform_url = platform_url
        self._has_read = trio.Event()
        self._is_released = trio.Event()
        self.application = make_application(
            [Route(CONFIGURATION_PATH, self._forward, methods=["GET", "PUT"])]
        )

    async def run(self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; the started value is the URL."""
        await serve_http(self.application, address, task_status)

    async def wait_read(self) -> None:
        """Wait until the platform has answered the first read."""
        await self._has_read.wait()

    def release(self) -> None:
        """Return the delayed responses; later reads are not delayed."""
        self._is_released.set()

    async def _forward(self, request: Request) -> Response:
        body = await request.body()
        url = self._platform_url + CONFIGURATION_PATH
        answer = await self._http.request(
            request.method, url, params=dict(request.query_params), content=body
        )
        if request.method == "GET":
            self._has_read.set()
            await self._is_released.wait()
        return Response(answer.content, answer.status_code, media_type="application/json")

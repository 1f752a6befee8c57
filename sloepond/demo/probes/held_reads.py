"""A way to the platform that holds reads back, so that a writer works from an old one.

Owns whether the first read is still held; everything else passes through unchanged.
"""

from __future__ import annotations

import httpx
import trio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from sloepond.standins.http import make_application, serve_http
from sloepond.standins.platform import CONFIGURATION_PATH


class HeldReads:
    """Passes requests on to the platform; the first read is answered once `release` is called.

    :param platform_url: URL of the platform.
    """

    def __init__(self, http: httpx.AsyncClient, platform_url: str) -> None:
        self._http = http
        self._platform_url = platform_url
        self._has_read = trio.Event()
        self._is_released = trio.Event()
        self.application = make_application(
            [Route(CONFIGURATION_PATH, self._pass_on, methods=["GET", "PUT"])]
        )

    async def run(self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; `started` gives the URL."""
        await serve_http(self.application, address, task_status)

    async def wait_read(self) -> None:
        """Wait until the platform has answered the first read."""
        await self._has_read.wait()

    def release(self) -> None:
        """Let the answer of the first read through."""
        self._is_released.set()

    async def _pass_on(self, request: Request) -> Response:
        body = await request.body()
        url = self._platform_url + CONFIGURATION_PATH
        answer = await self._http.request(
            request.method, url, params=dict(request.query_params), content=body
        )
        if request.method == "GET":
            self._has_read.set()
            await self._is_released.wait()
        return Response(answer.content, answer.status_code, media_type="application/json")

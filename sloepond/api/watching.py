"""The streaming response of a watch, and the limit on concurrent watches."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import msgspec
from starlette.responses import StreamingResponse
from starlette.types import Receive, Scope, Send

from sloepond.api.changes import ChangeType, bookmark
from sloepond.api.errors import ApiError, ErrorCode
from sloepond.api.feed import Batch
from sloepond.resources.model import Kind

MEDIA_TYPE = "application/x-ndjson"
LINES_PER_CHUNK = 100

_ENCODER = msgspec.json.Encoder()


class WatchLimiter:
    """Limits the number of concurrent watches.

    :ivar open_count: watches that are open now.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.open_count = 0

    def open(self) -> Callable[[], None]:
        """Count a new watch and return a function to call once at its end.

        :raises ApiError: `too-many-watches` if the limit is reached.
        """
        if self.open_count >= self._limit:
            raise ApiError(ErrorCode.TOO_MANY_WATCHES, f"{self._limit} watches are open; try again later")
        self.open_count += 1
        return self._close

    def _close(self) -> None:
        self.open_count -= 1


class WatchResponse(StreamingResponse):
    """Sends the batches of a watch as JSON lines until the client disconnects.

    :param kind: kind of the resources to report; None for all.
    :param on_end: called once, however the response ends.
    """

    def __init__(self, batches: AsyncIterator[Batch], kind: Kind | None, on_end: Callable[[], None]) -> None:
        super().__init__(_chunks(batches, kind), media_type=MEDIA_TYPE)
        self._on_end = on_end

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the response."""
        try:
            await super().__call__(scope, receive, send)
        finally:
            self._on_end()


async def _chunks(batches: AsyncIterator[Batch], kind: Kind | None) -> AsyncIterator[bytes]:
    async for batch in batches:
        lines = [_ENCODER.encode(event) + b"\n" for event in select_kind(batch, kind)]
        for start in range(0, len(lines), LINES_PER_CHUNK):
            yield b"".join(lines[start : start + LINES_PER_CHUNK])


def select_kind(batch: Batch, kind: Kind | None) -> Batch:
    """Return the events of one kind; the last one still has the version to resume from."""
    if kind is None or batch[-1].type is ChangeType.GONE:
        return batch
    selected = tuple(event for event in batch if type(event.resource).__name__ == kind.value)
    if batch[-1] in selected[-1:]:
        return selected
    return (*selected, bookmark(batch[-1].resource_version))

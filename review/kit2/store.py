"""Stand-in of the platform's store: keys, ranges, watches and stale reads over HTTP/1.1, as the pages say."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

ANSWER_DELAY_S = 0.004
PAGE_ITEMS = 500
LONG_AGO = -1e9


class Change:
    """One write of the store: `value` is None for a removal."""

    def __init__(self, at: float, rev: int, key: str, value: bytes | None) -> None:
        self.at = at
        self.rev = rev
        self.key = key
        self.value = value


class Store:
    """The store.

    `lag_s` is the age of stale reads.  `is_lost` decides, for each answer, whether it is lost; a connection
    on which an answer is lost says nothing more.  `answers` holds one entry for each answer:
    the time, the target, whether it was lost, and the revision that it names.
    """

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.is_lost: Callable[[str, dict[str, Any]], bool] = lambda target, answer: False
        self.answers: list[tuple[float, str, bool, int]] = []
        self._changes: list[Change] = []
        self._rev = 100
        self._waiting: list[asyncio.Event] = []
        self._server: asyncio.Server | None = None

    def put(self, key: str, value: dict[str, Any] | None, at: float | None = None) -> float:
        """Write or remove (None) a key; return the time of the acknowledgement."""
        now = time.monotonic() if at is None else at
        self._rev += 1
        encoded = None if value is None else json.dumps(value).encode()
        self._changes.append(Change(now, self._rev, key, encoded))
        for event in self._waiting:
            event.set()
        return time.monotonic()

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, answer = await self._answer(target)
                lost = self.is_lost(target, answer)
                self.answers.append((time.monotonic(), target, lost, answer.get("at", 0)))
                if lost:
                    await reader.read()
                    return
                body = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(ANSWER_DELAY_S)
        if url.path == "/api/kv-range":
            return 200, self._range(query)
        if url.path == "/api/kv-watch":
            return 200, await self._watch(query)
        items = {item["key"]: item for item in self._view(None)[0]}
        item = items.get(query.get("key", ""))
        return (404, {"at": self._rev}) if item is None else (200, {**item, "at": self._rev})

    def _view(self, as_of: float | None) -> tuple[list[dict[str, Any]], int]:
        """Return all items and the revision, now or as of an earlier time."""
        items: dict[str, dict[str, Any]] = {}
        rev = 100
        for change in self._changes:
            if as_of is not None and change.at > as_of:
                continue
            rev = change.rev
            if change.value is None:
                items.pop(change.key, None)
                continue
            made = items[change.key]["made"] if change.key in items else change.rev
            value = base64.b64encode(change.value).decode()
            items[change.key] = {
                "key": change.key,
                "value": value,
                "rev": change.rev,
                "made": made,
                "lease": 0,
            }
        return [items[key] for key in sorted(items)], rev

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        is_stale = query.get("stale") == "1"
        items, rev = self._view(time.monotonic() - self.lag_s if is_stale else None)
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        found = [item for item in items if item["key"].startswith(prefix) and item["key"] > after]
        return {"items": found[:PAGE_ITEMS], "more": len(found) > PAGE_ITEMS, "at": rev}

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("path_prefix", ""), int(query.get("after", "0"))
        ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        event = asyncio.Event()
        self._waiting.append(event)
        try:
            while True:
                events = [_event(c) for c in self._changes if c.rev > after and c.key.startswith(prefix)]
                left = ends_at - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "at": self._rev}
                event.clear()
                try:
                    await asyncio.wait_for(event.wait(), left)
                except TimeoutError:
                    continue
        finally:
            self._waiting.remove(event)


def _event(change: Change) -> dict[str, Any]:
    if change.value is None:
        return {"key": change.key, "rev": change.rev, "gone": True}
    value = base64.b64encode(change.value).decode()
    return {"key": change.key, "value": value, "rev": change.rev, "made": change.rev, "lease": 0}

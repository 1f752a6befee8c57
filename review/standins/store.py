"""A stand-in for the platform's store: one key space, one counter of revisions, reads and watches."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import urllib.parse
from collections.abc import Callable
from typing import NamedTuple

ANSWER_S = 0.004
"""Time that an answer takes."""
PAGE_ITEMS = 500


class Item(NamedTuple):
    """One item as it was written."""

    key: str
    value: bytes
    rev: int
    made: int

    def document(self) -> dict[str, object]:
        """Return the item as an answer holds it."""
        value = base64.b64encode(self.value).decode()
        return {"key": self.key, "value": value, "rev": self.rev, "made": self.made, "lease": 0}


class Store:
    """The store.  The methods that write return once the write is acknowledged.

    :param note: adds a line to the record.
    :ivar is_lost: whether the answer to a call, given by its path and its prefix, is lost; the
        connection then says nothing more.
    """

    def __init__(self, note: Callable[[str], float]) -> None:
        self._note = note
        self._items: dict[str, Item] = {}
        self._events: list[dict[str, object]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self.revision = 100
        self.is_lost: Callable[[str, str], bool] = lambda path, prefix: False
        self.answered = 0
        self.lost = 0
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def put(self, key: str, value: bytes | dict[str, object]) -> float:
        """Write an item; return the time of the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value, separators=(",", ":")).encode()
        self.revision += 1
        before = self._items.get(key)
        item = Item(key, data, self.revision, before.made if before else self.revision)
        self._items[key] = item
        self._publish(item.document())
        text = data.decode(errors="replace")[:400]
        return self._note(f"store: {key} written at revision {self.revision}: {text}")

    def delete(self, key: str) -> float:
        """Remove an item; return the time of the acknowledgement."""
        self.revision += 1
        del self._items[key]
        self._publish({"key": key, "rev": self.revision, "gone": True})
        return self._note(f"store: {key} is gone at revision {self.revision}")

    def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._connections:
            task.cancel()

    def _publish(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = urllib.parse.urlsplit(head.split(b" ", 2)[1].decode())
                query = dict(urllib.parse.parse_qsl(target.query))
                status, body = await self._answer(target.path, query)
                if self.is_lost(target.path, query.get("path_prefix", "")):
                    self.lost += 1
                    self._note(f"store: the answer to {target.path}?{target.query} is lost")
                    await reader.read()
                    break
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
                self.answered += 1
        self._connections.discard(task)
        writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        if path == "/api/kv-watch":
            return 200, await self._watch(query)
        await asyncio.sleep(ANSWER_S)
        if path == "/api/kv-key":
            item = self._items.get(query["key"])
            return (200, {**item.document(), "at": self.revision}) if item else (404, {"at": self.revision})
        after = query.get("after", "")
        prefix = query["path_prefix"]
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items = [self._items[key].document() for key in keys[:PAGE_ITEMS]]
        return 200, {"items": items, "more": len(keys) > PAGE_ITEMS, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        """Wait for events after a revision."""
        after, prefix = int(query["after"]), query["path_prefix"]
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            events = [e for e in self._events if e["rev"] > after and str(e["key"]).startswith(prefix)]
            left_s = ends_at - loop.time()
            if events or left_s <= 0:
                await asyncio.sleep(ANSWER_S)
                return {"events": events, "at": self.revision if not events else events[-1]["rev"]}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

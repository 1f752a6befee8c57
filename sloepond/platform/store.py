"""Calls to the platform's store: one key, a prefix in pages, a watch."""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from sloepond.core.forwarding.backends import BackendRecord
from sloepond.core.forwarding.events import (
    BackendsChanged,
    BackendsRead,
    DepartedBackend,
    ReadSubject,
    RoutesChanged,
    RoutesRead,
    StoreCallFailed,
    StoreEvent,
    StoreFailure,
    Subject,
    WatchSubject,
)
from sloepond.platform.documents import (
    Item,
    KeyAnswer,
    RangeAnswer,
    WatchAnswer,
    backend_name,
    decode_configuration,
    decode_server,
)
from sloepond.runtime.forwarding.drivers import StoreDriver
from sloepond.runtime.forwarding.http_client import HttpClient, HttpFailure, HttpResponse

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
READ_TIMEOUT_S = 0.7
WATCH_MARGIN_S = 0.7

_FAILURES = {
    HttpFailure.UNREACHABLE: StoreFailure.UNREACHABLE,
    HttpFailure.TIMED_OUT: StoreFailure.TIMED_OUT,
    HttpFailure.MALFORMED: StoreFailure.MALFORMED,
}
_STATUSES = {429: StoreFailure.THROTTLED, 410: StoreFailure.HISTORY_LOST, 503: StoreFailure.REFUSED}
_KEY = msgspec.json.Decoder(KeyAnswer)
_RANGE = msgspec.json.Decoder(RangeAnswer)
_WATCH = msgspec.json.Decoder(WatchAnswer)


class PlatformStore(StoreDriver):
    """The platform's store.

    :param address: `ip:port`.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._client = HttpClient(host, int(port))

    async def read(self, command: ReadSubject) -> StoreEvent:
        """Read the configuration or all targets."""
        try:
            if command.subject is Subject.ROUTES:
                return await self._read_configuration()
            return await self._read_servers()
        except (msgspec.MsgspecError, ValueError, OSError):
            return StoreCallFailed(command.subject, StoreFailure.MALFORMED, False)

    async def watch(self, command: WatchSubject) -> StoreEvent:
        """Wait for changes of the configuration or of targets."""
        prefix = CONFIGURATION_KEY if command.subject is Subject.ROUTES else SERVERS_PREFIX
        wait_ms = int(command.wait_s * 1000)
        target = f"/api/kv-watch?path_prefix={quote(prefix)}&after={command.after}&wait_ms={wait_ms}"
        answer = await self._client.get(target, command.wait_s + WATCH_MARGIN_S)
        if not isinstance(answer, HttpResponse) or answer.status != 200:
            return StoreCallFailed(command.subject, _failure(answer), True)
        try:
            return _watch_event(command.subject, _WATCH.decode(answer.body))
        except (msgspec.MsgspecError, ValueError, OSError):
            return StoreCallFailed(command.subject, StoreFailure.MALFORMED, True)

    async def _read_configuration(self) -> StoreEvent:
        answer = await self._client.get(f"/api/kv-key?key={quote(CONFIGURATION_KEY)}", READ_TIMEOUT_S)
        if isinstance(answer, HttpResponse) and answer.status == 404:
            return RoutesRead(0, None)
        if not isinstance(answer, HttpResponse) or answer.status != 200:
            return StoreCallFailed(Subject.ROUTES, _failure(answer), False)
        item = _KEY.decode(answer.body)
        return RoutesRead(item.at, decode_configuration(item.value))

    async def _read_servers(self) -> StoreEvent:
        records: list[BackendRecord] = []
        first_revision = 0
        after = ""
        while True:
            target = f"/api/kv-range?path_prefix={quote(SERVERS_PREFIX)}"
            if after:
                target += f"&after={quote(after)}"
            answer = await self._client.get(target, READ_TIMEOUT_S)
            if not isinstance(answer, HttpResponse) or answer.status != 200:
                return StoreCallFailed(Subject.BACKENDS, _failure(answer), False)
            page = _RANGE.decode(answer.body)
            first_revision = first_revision or page.at
            records.extend(decode_server(item.key, item.value, item.rev) for item in page.items)
            if not page.more or not page.items:
                return BackendsRead(first_revision, tuple(records))
            after = page.items[-1].key


def _watch_event(subject: Subject, answer: WatchAnswer) -> StoreEvent:
    if subject is Subject.ROUTES:
        written = (item for item in answer.events if item.key == CONFIGURATION_KEY and item.value)
        return RoutesChanged(answer.at, tuple(decode_configuration(item.value) for item in written))
    return BackendsChanged(answer.at, tuple(_change(item) for item in answer.events))


def _change(item: Item) -> BackendRecord | DepartedBackend:
    if item.gone:
        return DepartedBackend(backend_name(item.key), item.rev)
    return decode_server(item.key, item.value, item.rev)


def _failure(answer: HttpResponse | HttpFailure) -> StoreFailure:
    if isinstance(answer, HttpResponse):
        return _STATUSES.get(answer.status, StoreFailure.REFUSED)
    return _FAILURES[answer]

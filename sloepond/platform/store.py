"""Names and formats of the platform's store: one key, a prefix in pages, a watch."""

from __future__ import annotations

import msgspec

from sloepond.core.forwarding.commands import ReadSubject, WatchSubject
from sloepond.core.forwarding.events import (
    BackendsChanged,
    BackendsRead,
    DepartedBackend,
    RoutesChanged,
    RoutesRead,
    StoreCallFailed,
    StoreEvent,
    StoreFailure,
    Subject,
)
from sloepond.core.forwarding.state.backend_records import BackendRecord
from sloepond.core.forwarding.state.evacuated_halls import EvacuationChange
from sloepond.platform.documents import (
    Item,
    RangeAnswer,
    WatchAnswer,
    backend_name,
    decode_configuration,
    decode_server,
)
from sloepond.runtime.forwarding.drivers import ReadPage, StoreCodec

CONFIGURATION_KEY = "op/config"
EVACUATED_PREFIX = "op/evacuate/"
OPERATOR_PREFIX = "op/"
SERVERS_PREFIX = "servers/"
NOTHING_PREFIX = "op/config/"
_PREFIXES = {Subject.ROUTES: OPERATOR_PREFIX, Subject.BACKENDS: SERVERS_PREFIX}
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/")
"""Bytes that stand for themselves in a query: those of RFC 3986, and the slash."""
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OSError)
"""What decoding raises: JSON of another form, base64 or a number that is none, an address that is none."""
_RANGE = msgspec.json.Decoder(RangeAnswer)
_WATCH = msgspec.json.Decoder(WatchAnswer)


class PlatformStoreCodec(StoreCodec):
    """The platform's store."""

    def read_target(self, command: ReadSubject, page: str) -> str:
        """Return the target of a GET that reads a page of what operators or targets have written."""
        stale = "&stale=1" if command.may_be_stale else ""
        after = f"&after={quote(page)}" if page else ""
        return f"/api/kv-range?path_prefix={quote(_PREFIXES[command.subject])}{after}{stale}"

    def probe_target(self) -> str:
        """Return the target of a stale read of a prefix under which nothing stands."""
        return f"/api/kv-range?path_prefix={quote(NOTHING_PREFIX)}&stale=1"

    def watch_target(self, command: WatchSubject) -> str:
        """Return the target of a GET that waits for changes."""
        prefix = quote(_PREFIXES[command.subject])
        wait_ms = int(command.wait_s * 1000)
        return f"/api/kv-watch?path_prefix={prefix}&after={command.after}&wait_ms={wait_ms}"

    def decode_page(self, subject: Subject, body: bytes) -> ReadPage:
        """Return what a read has brought."""
        try:
            return _read_routes(body) if subject is Subject.ROUTES else _read_servers(body)
        except _DECODE_ERRORS as error:
            return ReadPage(StoreCallFailed(subject, StoreFailure.MALFORMED, False, _reason(error)))

    def decode_watch(self, command: WatchSubject, body: bytes) -> StoreEvent:
        """Return what a watch has brought."""
        try:
            answer = _WATCH.decode(body)
            if command.subject is Subject.ROUTES:
                return _changed_routes(answer)
            return BackendsChanged(answer.at, tuple(_change(item) for item in answer.events))
        except _DECODE_ERRORS as error:
            return StoreCallFailed(command.subject, StoreFailure.MALFORMED, True, _reason(error))


def quote(text: str) -> str:
    """Return a text as it stands in a query; `urllib.parse` takes long to load."""
    return "".join(chr(byte) if byte in UNRESERVED else f"%{byte:02X}" for byte in text.encode())


def _reason(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _read_routes(body: bytes) -> ReadPage:
    answer = _RANGE.decode(body)
    written = [item for item in answer.items if item.key == CONFIGURATION_KEY]
    configuration = decode_configuration(written[0].value) if written else None
    zones = (item.key.removeprefix(EVACUATED_PREFIX) for item in answer.items if _is_evacuation(item))
    return ReadPage(RoutesRead(answer.at, configuration, tuple(zones)), _next_page(answer))


def _read_servers(body: bytes) -> ReadPage:
    answer = _RANGE.decode(body)
    records = tuple(decode_server(item.key, item.value, item.rev) for item in answer.items)
    return ReadPage(BackendsRead(answer.at, records), _next_page(answer))


def _next_page(answer: RangeAnswer) -> str:
    return answer.items[-1].key if answer.more and answer.items else ""


def _is_evacuation(item: Item) -> bool:
    return item.key.startswith(EVACUATED_PREFIX)


def _changed_routes(answer: WatchAnswer) -> RoutesChanged:
    written = (item for item in answer.events if item.key == CONFIGURATION_KEY and item.value)
    zones = (
        EvacuationChange(item.key.removeprefix(EVACUATED_PREFIX), item.rev, not item.gone)
        for item in answer.events
        if _is_evacuation(item)
    )
    return RoutesChanged(answer.at, tuple(decode_configuration(item.value) for item in written), tuple(zones))


def _change(item: Item) -> BackendRecord | DepartedBackend:
    if item.gone:
        return DepartedBackend(backend_name(item.key), item.rev)
    return decode_server(item.key, item.value, item.rev)

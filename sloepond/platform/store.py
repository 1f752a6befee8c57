"""Keys, request targets and response formats of the platform's store.

Owns no state.  Relies on `documents` to decode the items; `runtime.forwarding.store_client` makes
the calls.  A response that cannot be decoded becomes an event with the reason.
"""

from __future__ import annotations

import msgspec

from sloepond.core.forwarding.commands import ReadSubject, WatchSubject
from sloepond.core.forwarding.events import (
    BackendsChanged,
    ChangesEvent,
    DepartedBackend,
    RoutesChanged,
    RoutesRead,
    StoreCallFailed,
    StoreFailure,
    Subject,
    UnreadableBackend,
    backends_read,
)
from sloepond.core.forwarding.state.backend_records import BackendRecord
from sloepond.core.forwarding.state.entry_fields import truncated
from sloepond.core.forwarding.state.evacuated_halls import EvacuationChange
from sloepond.platform.documents import (
    MS_PER_S,
    TARGETS_PREFIX,
    PageAnswer,
    StoreItem,
    WatchAnswer,
    decode_configuration,
    decode_target,
)
from sloepond.runtime.forwarding.drivers import ReadPage, StoreCodec
from sloepond.runtime.forwarding.http_message import quote

CONFIGURATION_KEY = "op/config"
"""Key of the operators' configuration, which holds all routes and services."""
EVACUATED_PREFIX = "op/evacuate/"
"""Prefix of the keys of evacuated halls; the name of the hall follows, the value has no meaning."""
OPERATOR_PREFIX = "op/"
"""Prefix of all keys that operators write, so one read or watch covers routes and evacuated halls."""
EMPTY_PREFIX = "op/config/"
"""Prefix without items, so that a read of it is the cheapest call."""
_PREFIXES = {Subject.ROUTES: OPERATOR_PREFIX, Subject.BACKENDS: TARGETS_PREFIX}
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OSError, RecursionError)
"""Errors of decoding: unexpected or too deeply nested JSON, an invalid base64 text, number or address."""
_PAGE = msgspec.json.Decoder(PageAnswer)
_WATCH = msgspec.json.Decoder(WatchAnswer)


class PlatformStoreCodec(StoreCodec):
    """Formats of the platform's store."""

    def read_target(self, command: ReadSubject, page: str) -> str:
        """Return the target of a GET that reads a page of the operators' or the targets' items."""
        stale = "&stale=1" if command.may_be_stale else ""
        after = f"&after={quote(page)}" if page else ""
        return f"/api/kv-range?path_prefix={quote(_PREFIXES[command.subject])}{after}{stale}"

    def probe_target(self) -> str:
        """Return the target of a stale read of a prefix without items; it costs a tenth of a call."""
        return f"/api/kv-range?path_prefix={quote(EMPTY_PREFIX)}&stale=1"

    def watch_target(self, command: WatchSubject) -> str:
        """Return the target of a long-polling GET that waits for changes."""
        prefix = quote(_PREFIXES[command.subject])
        wait_ms = int(command.timeout_s * MS_PER_S)
        return f"/api/kv-watch?path_prefix={prefix}&after={command.after}&wait_ms={wait_ms}"

    def decode_page(self, subject: Subject, body: bytes) -> ReadPage:
        """Return the event for one page of a read."""
        try:
            return _decode_routes(body) if subject is Subject.ROUTES else _decode_backends(body)
        except _DECODE_ERRORS as error:
            return ReadPage(StoreCallFailed(subject, StoreFailure.MALFORMED, False, _error_text(error)))

    def decode_watch(self, command: WatchSubject, body: bytes) -> ChangesEvent:
        """Return the event for the response to a watch."""
        try:
            answer = _WATCH.decode(body)
            if command.subject is Subject.ROUTES:
                return _decode_route_changes(answer)
            return BackendsChanged(answer.revision, tuple(_decode_change(item) for item in answer.changes))
        except _DECODE_ERRORS as error:
            return StoreCallFailed(command.subject, StoreFailure.MALFORMED, True, _error_text(error))


def _error_text(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _decode_routes(body: bytes) -> ReadPage:
    answer = _PAGE.decode(body)
    configuration_items = [item for item in answer.items if item.key == CONFIGURATION_KEY]
    configuration = decode_configuration(configuration_items[0].value) if configuration_items else None
    halls = (item.key.removeprefix(EVACUATED_PREFIX) for item in answer.items if _is_evacuation(item))
    return ReadPage(RoutesRead(answer.revision, configuration, tuple(halls)), _next_page(answer))


def _decode_backends(body: bytes) -> ReadPage:
    answer = _PAGE.decode(body)
    return ReadPage(backends_read(answer.revision, map(_decode_entry, answer.items)), _next_page(answer))


def _next_page(answer: PageAnswer) -> str:
    return answer.items[-1].key if answer.has_more and answer.items else ""


def _is_evacuation(item: StoreItem) -> bool:
    return item.key.startswith(EVACUATED_PREFIX)


def _decode_route_changes(answer: WatchAnswer) -> RoutesChanged:
    configuration_items = (item for item in answer.changes if item.key == CONFIGURATION_KEY and item.value)
    halls = (
        EvacuationChange(item.key.removeprefix(EVACUATED_PREFIX), item.revision, not item.is_deleted)
        for item in answer.changes
        if _is_evacuation(item)
    )
    return RoutesChanged(
        answer.revision, tuple(decode_configuration(item.value) for item in configuration_items), tuple(halls)
    )


def _decode_change(item: StoreItem) -> BackendRecord | DepartedBackend | UnreadableBackend:
    if item.is_deleted:
        return DepartedBackend(_entry_name(item.key), item.revision)
    return _decode_entry(item)


def _decode_entry(item: StoreItem) -> BackendRecord | UnreadableBackend:
    """Return the back end in an item; an undecodable one is reported and the others stay usable."""
    try:
        return decode_target(item.key, item.value, item.revision)
    except _DECODE_ERRORS as error:
        return UnreadableBackend(_entry_name(item.key), item.revision, truncated(_error_text(error)))


def _entry_name(key: str) -> str:
    """Return the name of an entry, which may be one that no target wrote."""
    return truncated(key.removeprefix(TARGETS_PREFIX))

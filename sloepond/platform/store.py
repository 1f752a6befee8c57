"""Names and formats of the platform's store: keys, targets of GET requests, answers.

Owns no state.  Relies on `documents` for the bodies; the calls are made by
`runtime.forwarding.store_client`.  An answer that cannot be decoded becomes an event with the reason.
"""

from __future__ import annotations

import msgspec

from sloepond.core.forwarding.commands import ReadSubject, WatchSubject
from sloepond.core.forwarding.events import (
    BackendsChanged,
    DepartedBackend,
    RoutesChanged,
    RoutesRead,
    StoreCallFailed,
    StoreEvent,
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
"""The operators' configuration: all routes and services."""
EVACUATED_PREFIX = "op/evacuate/"
"""Followed by the name of a hall; the item's value says nothing."""
OPERATOR_PREFIX = "op/"
"""All that operators write: one read or watch brings routes and evacuated halls together."""
EMPTY_PREFIX = "op/config/"
"""Nothing stands below it: a read is as cheap as an answer can be."""
_PREFIXES = {Subject.ROUTES: OPERATOR_PREFIX, Subject.BACKENDS: TARGETS_PREFIX}
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OSError, RecursionError)
"""What decoding raises: JSON of another form, base64 or a number that is none, an address that is none, JSON
nested too deeply."""
_PAGE = msgspec.json.Decoder(PageAnswer)
_WATCH = msgspec.json.Decoder(WatchAnswer)


class PlatformStoreCodec(StoreCodec):
    """The platform's store."""

    def read_target(self, command: ReadSubject, page: str) -> str:
        """Return the target of a GET that reads a page of what operators or targets have written."""
        stale = "&stale=1" if command.may_be_stale else ""
        after = f"&after={quote(page)}" if page else ""
        return f"/api/kv-range?path_prefix={quote(_PREFIXES[command.subject])}{after}{stale}"

    def probe_target(self) -> str:
        """Return the target of a stale read of a prefix with no items: it costs a tenth of a call."""
        return f"/api/kv-range?path_prefix={quote(EMPTY_PREFIX)}&stale=1"

    def watch_target(self, command: WatchSubject) -> str:
        """Return the target of a GET that waits for changes."""
        prefix = quote(_PREFIXES[command.subject])
        wait_ms = int(command.wait_s * MS_PER_S)
        return f"/api/kv-watch?path_prefix={prefix}&after={command.after}&wait_ms={wait_ms}"

    def decode_page(self, subject: Subject, body: bytes) -> ReadPage:
        """Return what a read has brought."""
        try:
            return _read_routes(body) if subject is Subject.ROUTES else _read_backends(body)
        except _DECODE_ERRORS as error:
            return ReadPage(StoreCallFailed(subject, StoreFailure.MALFORMED, False, _reason(error)))

    def decode_watch(self, command: WatchSubject, body: bytes) -> StoreEvent:
        """Return what a watch has brought."""
        try:
            answer = _WATCH.decode(body)
            if command.subject is Subject.ROUTES:
                return _changed_routes(answer)
            return BackendsChanged(answer.revision, tuple(_change(item) for item in answer.changes))
        except _DECODE_ERRORS as error:
            return StoreCallFailed(command.subject, StoreFailure.MALFORMED, True, _reason(error))


def _reason(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _read_routes(body: bytes) -> ReadPage:
    answer = _PAGE.decode(body)
    written = [item for item in answer.items if item.key == CONFIGURATION_KEY]
    configuration = decode_configuration(written[0].value) if written else None
    halls = (item.key.removeprefix(EVACUATED_PREFIX) for item in answer.items if _is_evacuation(item))
    return ReadPage(RoutesRead(answer.revision, configuration, tuple(halls)), _next_page(answer))


def _read_backends(body: bytes) -> ReadPage:
    answer = _PAGE.decode(body)
    return ReadPage(backends_read(answer.revision, map(_entry, answer.items)), _next_page(answer))


def _next_page(answer: PageAnswer) -> str:
    return answer.items[-1].key if answer.has_more and answer.items else ""


def _is_evacuation(item: StoreItem) -> bool:
    return item.key.startswith(EVACUATED_PREFIX)


def _changed_routes(answer: WatchAnswer) -> RoutesChanged:
    written = (item for item in answer.changes if item.key == CONFIGURATION_KEY and item.value)
    halls = (
        EvacuationChange(item.key.removeprefix(EVACUATED_PREFIX), item.revision, not item.is_deleted)
        for item in answer.changes
        if _is_evacuation(item)
    )
    return RoutesChanged(
        answer.revision, tuple(decode_configuration(item.value) for item in written), tuple(halls)
    )


def _change(item: StoreItem) -> BackendRecord | DepartedBackend | UnreadableBackend:
    if item.is_deleted:
        return DepartedBackend(_name(item.key), item.revision)
    return _entry(item)


def _entry(item: StoreItem) -> BackendRecord | UnreadableBackend:
    """Return the back end in an item; one that cannot be read costs no other its place."""
    try:
        return decode_target(item.key, item.value, item.revision)
    except _DECODE_ERRORS as error:
        return UnreadableBackend(_name(item.key), item.revision, truncated(_reason(error)))


def _name(key: str) -> str:
    """Return what an entry is called, whoever wrote it."""
    return truncated(key.removeprefix(TARGETS_PREFIX))

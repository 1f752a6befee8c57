"""A read of the store in pages, without any I/O."""

from __future__ import annotations

from sloepond.core.forwarding.backends import BackendRecord
from sloepond.core.forwarding.events import (
    BackendsRead,
    RoutesRead,
    StoreCallFailed,
    StoreEvent,
    StoreFailure,
    Subject,
)
from sloepond.runtime.forwarding.drivers import StoreCodec
from sloepond.runtime.forwarding.http_exchange import HttpFailure, HttpResponse

_FAILURES = {
    HttpFailure.UNREACHABLE: StoreFailure.UNREACHABLE,
    HttpFailure.TIMED_OUT: StoreFailure.TIMED_OUT,
    HttpFailure.MALFORMED: StoreFailure.MALFORMED,
}
_STATUSES = {429: StoreFailure.THROTTLED, 410: StoreFailure.HISTORY_LOST}
OK = 200
NOT_FOUND = 404


def store_failure(answer: HttpResponse | HttpFailure) -> StoreFailure | None:
    """Return why an answer brings nothing, None where it brings something."""
    if isinstance(answer, HttpFailure):
        return _FAILURES[answer]
    if answer.status == OK:
        return None
    return _STATUSES.get(answer.status, StoreFailure.REFUSED)


class PagedRead:
    """One read of everything of a subject, page by page.

    :ivar target: what to ask for next.
    """

    def __init__(self, subject: Subject, codec: StoreCodec) -> None:
        self._subject = subject
        self._codec = codec
        self._records: list[BackendRecord] = []
        self._revision = 0
        self.target = codec.read_target(subject, "")

    def answered(self, answer: HttpResponse | HttpFailure) -> StoreEvent | None:
        """Take the answer to `target`; return the event once all pages are there."""
        failure = store_failure(answer)
        if isinstance(answer, HttpResponse) and failure is None:
            return self._page(answer.body)
        is_absent = isinstance(answer, HttpResponse) and answer.status == NOT_FOUND
        if is_absent and self._subject is Subject.ROUTES:
            return RoutesRead(0, None)
        return StoreCallFailed(self._subject, failure or StoreFailure.REFUSED, False)

    def _page(self, body: bytes) -> StoreEvent | None:
        page = self._codec.decode_page(self._subject, body)
        if not isinstance(page.event, BackendsRead):
            return page.event
        self._records.extend(page.event.records)
        self._revision = self._revision or page.event.revision
        if page.next_page:
            self.target = self._codec.read_target(self._subject, page.next_page)
            return None
        return BackendsRead(self._revision, tuple(self._records))

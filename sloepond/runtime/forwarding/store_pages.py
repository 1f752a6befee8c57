"""A read of the store in pages, without I/O: which page comes next, and when the read is whole.

Owns the pages of one read.  Relies on the platform's `StoreCodec` for targets and bodies, and on the
caller to make the calls and the waits.
"""

from __future__ import annotations

from sloepond.core.forwarding.commands import ReadSubject
from sloepond.core.forwarding.events import (
    BackendsRead,
    RoutesRead,
    StoreCallFailed,
    StoreEvent,
    StoreFailure,
    Subject,
    UnreadableBackend,
)
from sloepond.core.forwarding.state.backend_records import BackendRecord
from sloepond.core.forwarding.state.routes import RouteConfiguration
from sloepond.runtime.forwarding.drivers import StoreCodec
from sloepond.runtime.forwarding.http_exchange import HttpFailure, HttpResponse

STORE_FAILURES: dict[HttpFailure, StoreFailure] = {
    HttpFailure.UNREACHABLE: StoreFailure.UNREACHABLE,
    HttpFailure.TIMED_OUT: StoreFailure.TIMED_OUT,
    HttpFailure.MALFORMED: StoreFailure.MALFORMED,
}
"""What a call without a response means to the node."""
# What a response without a page means to the node; any other status is a refusal.
_STATUSES = {429: StoreFailure.THROTTLED, 410: StoreFailure.HISTORY_LOST}
OK = 200
NOT_FOUND = 404
FIRST_WAIT_S = 0.1
"""Wait before a page is requested again, in seconds; it doubles with each failure in a row.

Not measured: an answer takes some milliseconds, so the store is spared while it refuses, and a
single failure delays a start by little.
"""
LONGEST_WAIT_S = 0.8
"""Longest of these waits, in seconds.

Not measured: below the second in which the store counts reads, so each new second is tried.
"""
PAGE_RETRIES = 8
"""Failures after the first page that one read bears in all.

Not measured: in a row their waits add up to 4.7 s; a store that refuses for longer is left to the
node's own retries.
"""


def store_failure(answer: HttpResponse | HttpFailure) -> StoreFailure | None:
    """Return why a call has failed, None if its response has the status 200."""
    if isinstance(answer, HttpFailure):
        return STORE_FAILURES[answer]
    if answer.status == OK:
        return None
    return _STATUSES.get(answer.status, StoreFailure.REFUSED)


class PagedRead:
    """One read of everything of a subject, page by page.

    A page that fails is requested again: a list of many pages isn't begun anew for it.  The first page
    is not, as the node decides when to try again.

    :param retries: failures that are borne after the first page.
    :ivar target: target of the next GET.
    :ivar wait_s: seconds to wait before it; the caller draws 0.5 to 1.5 times that.
    """

    def __init__(self, command: ReadSubject, codec: StoreCodec, retries: int = 0) -> None:
        self._command = command
        self._codec = codec
        self._retries = retries
        self._records: list[BackendRecord] = []
        self._unreadable: list[UnreadableBackend] = []
        self._routes: RouteConfiguration | None = None
        self._evacuated: list[str] = []
        self._pages = 0
        self._revision = 0
        self.target = codec.read_target(command, "")
        self.wait_s = 0.0

    def answered(self, answer: HttpResponse | HttpFailure) -> StoreEvent | None:
        """Take the answer to `target`; return the event once all pages are there or the read has failed."""
        failure = store_failure(answer)
        if isinstance(answer, HttpResponse) and failure is None:
            self.wait_s = 0.0
            return self._page(answer.body)
        subject = self._command.subject
        is_absent = isinstance(answer, HttpResponse) and answer.status == NOT_FOUND
        if is_absent and subject is Subject.ROUTES:
            return RoutesRead(0, None)
        if self._pages and self._retries > 0:
            self._retries -= 1
            self.wait_s = min(LONGEST_WAIT_S, max(FIRST_WAIT_S, 2.0 * self.wait_s))
            return None
        return StoreCallFailed(subject, failure or StoreFailure.REFUSED, False)

    def _page(self, body: bytes) -> StoreEvent | None:
        """Take a page; pages are no snapshot, so the revision of the first one counts."""
        page = self._codec.decode_page(self._command.subject, body)
        event = page.event
        if isinstance(event, BackendsRead):
            self._records.extend(event.records)
            self._unreadable.extend(event.unreadable)
        elif isinstance(event, RoutesRead):
            self._routes = event.configuration or self._routes
            self._evacuated.extend(event.evacuated)
        else:
            return event
        self._pages += 1
        self._revision = self._revision or event.revision
        if page.next_page:
            self.target = self._codec.read_target(self._command, page.next_page)
            return None
        if isinstance(event, BackendsRead):
            return BackendsRead(self._revision, tuple(self._records), tuple(self._unreadable))
        return RoutesRead(self._revision, self._routes, tuple(self._evacuated))

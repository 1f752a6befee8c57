"""A paged read of the store, without I/O: which page is next, and when the read is complete.

Owns the pages of one read.  Relies on the platform's `StoreCodec` for targets and bodies, and on the
caller to make the calls and to wait between them.
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
"""Failure that is reported to the node for a call without a response."""
# Failure for a response with another status than 200; a status not listed here is a refusal.
_STATUSES = {429: StoreFailure.THROTTLED, 410: StoreFailure.HISTORY_LOST}
OK = 200
NOT_FOUND = 404
INITIAL_RETRY_DELAY_S = 0.1
"""Delay before a failed page is requested again, in seconds; it doubles with each failure in a row.

A response takes some milliseconds, so the delay reduces the load on a store that refuses, while a
single failure delays a start only a little.
"""
MAXIMUM_RETRY_DELAY_S = 0.8
"""Maximum delay before a failed page is requested again, in seconds.

The store limits reads per second; the delay is below a second, so that there is a retry in each one.
"""
PAGE_RETRIES = 8
"""Failures after the first page that one read tolerates in total.

In a row their delays add up to 4.7 s; the node itself retries a read that fails for longer.
"""


def store_failure(answer: HttpResponse | HttpFailure) -> StoreFailure | None:
    """Return why a call has failed, None if the status of its response is 200."""
    if isinstance(answer, HttpFailure):
        return STORE_FAILURES[answer]
    if answer.status == OK:
        return None
    return _STATUSES.get(answer.status, StoreFailure.REFUSED)


class PagedRead:
    """One read of all pages of a subject.

    A failed page is requested again, so that a list of many pages need not restart.  A failure of the
    first page fails the read, since the node decides when to retry it.

    :param retries: failures after the first page that are tolerated.
    :ivar target: target of the next GET.
    :ivar delay_s: delay before it, in seconds; the caller multiplies it by a random 0.5 to 1.5.
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
        self.delay_s = 0.0

    def handle_response(self, answer: HttpResponse | HttpFailure) -> StoreEvent | None:
        """Handle the response to `target`; return an event once the read is complete or has failed."""
        failure = store_failure(answer)
        if isinstance(answer, HttpResponse) and failure is None:
            self.delay_s = 0.0
            return self._add_page(answer.body)
        subject = self._command.subject
        is_absent = isinstance(answer, HttpResponse) and answer.status == NOT_FOUND
        if is_absent and subject is Subject.ROUTES:
            return RoutesRead(0, None)
        if self._pages and self._retries > 0:
            self._retries -= 1
            self.delay_s = min(MAXIMUM_RETRY_DELAY_S, max(INITIAL_RETRY_DELAY_S, 2.0 * self.delay_s))
            return None
        return StoreCallFailed(subject, failure or StoreFailure.REFUSED, False)

    def _add_page(self, body: bytes) -> StoreEvent | None:
        """Add a page; pages are not a snapshot, so the read has the revision of the first one."""
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

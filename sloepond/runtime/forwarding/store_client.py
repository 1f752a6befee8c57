"""Calls to the platform's store: reads, watches, verifications and probes; every failure becomes an event.

Owns the connections to the store.  Relies on `StoreCodec` for formats, on `store_pages` for paged
reads, and on the node, which decides when to call.  The daemon for sloepond's own platform has
another client (`runtime.platform_client`) with another protocol, on trio and over TLS.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from sloepond.core.forwarding.commands import LogKind, ReadSubject, VerifySubject, WatchSubject
from sloepond.core.forwarding.events import (
    BackendsRead,
    ChangesEvent,
    StoreCallFailed,
    StoreEvent,
    StoreFailure,
    StoreProbed,
    Subject,
)
from sloepond.core.forwarding.state.backend_records import Endpoint
from sloepond.runtime.forwarding.drivers import StoreCodec
from sloepond.runtime.forwarding.event_loop import EventLoop, sleep_until
from sloepond.runtime.forwarding.http_client import HttpClient
from sloepond.runtime.forwarding.http_exchange import HttpFailure, HttpResponse
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.process import split_address
from sloepond.runtime.forwarding.store_pages import PAGE_RETRIES, STORE_FAILURES, PagedRead, store_failure

SILENCE_TIMEOUT_S = 0.7
"""Longest time between two reads of response bytes, in seconds.

It restarts with each part: with 0.7 s for the whole response, a configuration of 1,500 routes never
arrived on links of 10 Mbit/s.  It is well above a round trip between halls of 3 ms.
"""
WATCH_MARGIN_S = 0.7
"""Time by which the timeout of a watch exceeds the wait that it requests, in seconds.

As long as `SILENCE_TIMEOUT_S`, since both leave time for a response to arrive.
"""
MINIMUM_JITTER = 0.5
"""Minimum random factor of the delay before a page is requested again; the maximum is 1 more.

The jitter spreads the retries of balancers that were refused at the same time.
"""


class StoreClient:
    """Makes the calls that the node commands, concurrent ones on separate connections.

    :param address: `ip:port` of the store.
    :param logs: receives a line with the reason of each failure, at a limited rate.
    :ivar bytes_received: total size of the bodies of all responses.
    """

    def __init__(self, loop: EventLoop, address: str, codec: StoreCodec, logs: LogWriter) -> None:
        self._loop = loop
        self._codec = codec
        self._logs = logs
        self._client = self._client_for(address)
        self.bytes_received = 0

    def change_address(self, address: str) -> None:
        """Use another address for all further calls."""
        self._client.close()
        self._client = self._client_for(address)

    async def read(self, command: ReadSubject, on_page: Callable[[], None]) -> StoreEvent:
        """Read all pages of a subject.

        :param on_page: called after each response except the last one.
        """
        paged = PagedRead(command, self._codec, PAGE_RETRIES)
        event: StoreEvent | None = None
        while event is None:
            if paged.delay_s:
                await sleep_until(self._loop.clock() + paged.delay_s * (MINIMUM_JITTER + random.random()))
            answer = await self._get(paged.target, SILENCE_TIMEOUT_S)
            event = paged.handle_response(answer)
            if event is None and isinstance(answer, HttpResponse):
                on_page()
        self._log_undecodable(event)
        return event

    async def probe(self) -> StoreProbed:
        """Check whether the store responds, and at which revision."""
        answer = await self._get(self._codec.probe_target(), SILENCE_TIMEOUT_S)
        failure = store_failure(answer)
        if isinstance(answer, HttpFailure) or failure is not None:
            return StoreProbed(failure)
        page = self._codec.decode_page(Subject.BACKENDS, answer.body).event
        self._log_undecodable(page)
        return StoreProbed(None, page.revision if isinstance(page, BackendsRead) else 0)

    async def watch(self, command: WatchSubject) -> ChangesEvent:
        """Wait for changes of a subject."""
        event = await self._changes(command, command.timeout_s + WATCH_MARGIN_S)
        return msgspec.structs.replace(event, generation=command.generation)

    async def verify(self, command: VerifySubject) -> ChangesEvent:
        """Ask for the changes of a subject since a revision: a watch that waits for none."""
        event = await self._changes(WatchSubject(command.subject, command.after, 0.0), SILENCE_TIMEOUT_S)
        if isinstance(event, StoreCallFailed):
            return msgspec.structs.replace(event, was_watch=False, was_verification=True)
        return msgspec.structs.replace(event, is_verification=True)

    async def _changes(self, command: WatchSubject, first_byte_timeout_s: float) -> ChangesEvent:
        """Return the changes since a revision, or why there is no answer."""
        answer = await self._get(self._codec.watch_target(command), SILENCE_TIMEOUT_S, first_byte_timeout_s)
        failure = store_failure(answer)
        if isinstance(answer, HttpFailure) or failure is not None:
            return StoreCallFailed(command.subject, failure or StoreFailure.REFUSED, True)
        event = self._codec.decode_watch(command, answer.body)
        self._log_undecodable(event)
        return event

    async def _get(
        self, target: str, silence_timeout_s: float, first_byte_timeout_s: float | None = None
    ) -> HttpResponse | HttpFailure:
        answer = await self._client.get(target, silence_timeout_s, first_byte_timeout_s)
        if isinstance(answer, HttpResponse):
            self.bytes_received += len(answer.body)
            failure = store_failure(answer)
            if failure is not None:
                self._log_failure(failure, f"status {answer.status}")
        return answer

    def _client_for(self, address: str) -> HttpClient:
        def report(failure: HttpFailure, error: Exception) -> None:
            self._log_failure(STORE_FAILURES[failure], error)

        return HttpClient(self._loop, Endpoint(*split_address(address)), report)

    def _log_undecodable(self, event: StoreEvent) -> None:
        if isinstance(event, StoreCallFailed) and event.detail:
            self._log_failure(event.reason, event.detail)

    def _log_failure(self, failure: StoreFailure, reason: Exception | str) -> None:
        self._logs.failure(LogKind.STORE_CALL_FAILED, failure.value, reason)

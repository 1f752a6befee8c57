"""Calls to the platform's store; every failure is an event, none is raised."""

from __future__ import annotations

import random
from collections.abc import Callable

from sloepond.core.forwarding.commands import LogKind, ReadSubject, WatchSubject
from sloepond.core.forwarding.events import (
    BackendsRead,
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

SILENCE_S = 0.7
"""Longest wait for the next bytes of an answer."""
WATCH_MARGIN_S = 0.7
"""How long after the end of its wait a watch is given up."""


class StoreClient:
    """Reads and watches.

    :param address: `ip:port` of the store.
    :param logs: told why a call has failed.
    :ivar bytes_received: bytes of the bodies of all answers.
    """

    def __init__(self, loop: EventLoop, address: str, codec: StoreCodec, logs: LogWriter) -> None:
        self._loop = loop
        self._codec = codec
        self._logs = logs
        self._client = self._connect_to(address)
        self.bytes_received = 0

    def move(self, address: str) -> None:
        """Call the store at another address from now on."""
        self._client.close()
        self._client = self._connect_to(address)

    async def read(self, command: ReadSubject, heard: Callable[[], None]) -> StoreEvent:
        """Read everything of a subject.

        :param heard: called after each page that is followed by another one.
        """
        paged = PagedRead(command, self._codec, PAGE_RETRIES)
        event: StoreEvent | None = None
        while event is None:
            if paged.wait_s:
                await sleep_until(self._loop.clock() + paged.wait_s * (0.5 + random.random()))
            answer = await self._get(paged.target, SILENCE_S)
            event = paged.answered(answer)
            if event is None and isinstance(answer, HttpResponse):
                heard()
        self._log_undecodable(event)
        return event

    async def probe(self) -> StoreProbed:
        """Ask whether the store answers."""
        answer = await self._get(self._codec.probe_target(), SILENCE_S)
        failure = store_failure(answer)
        if isinstance(answer, HttpFailure) or failure is not None:
            return StoreProbed(failure)
        page = self._codec.decode_page(Subject.BACKENDS, answer.body).event
        self._log_undecodable(page)
        return StoreProbed(None, page.revision if isinstance(page, BackendsRead) else 0)

    async def watch(self, command: WatchSubject) -> StoreEvent:
        """Wait for changes of a subject."""
        target = self._codec.watch_target(command)
        answer = await self._get(target, SILENCE_S, command.wait_s + WATCH_MARGIN_S)
        failure = store_failure(answer)
        if isinstance(answer, HttpFailure) or failure is not None:
            return StoreCallFailed(command.subject, failure or StoreFailure.REFUSED, True)
        event = self._codec.decode_watch(command, answer.body)
        self._log_undecodable(event)
        return event

    async def _get(
        self, target: str, silence_s: float, first_wait_s: float | None = None
    ) -> HttpResponse | HttpFailure:
        answer = await self._client.get(target, silence_s, first_wait_s)
        if isinstance(answer, HttpResponse):
            self.bytes_received += len(answer.body)
            failure = store_failure(answer)
            if failure is not None:
                self._log_failure(failure, f"status {answer.status}")
        return answer

    def _connect_to(self, address: str) -> HttpClient:
        def report(failure: HttpFailure, error: Exception) -> None:
            self._log_failure(STORE_FAILURES[failure], error)

        return HttpClient(self._loop, Endpoint(*split_address(address)), report)

    def _log_undecodable(self, event: StoreEvent) -> None:
        if isinstance(event, StoreCallFailed) and event.detail:
            self._log_failure(event.reason, event.detail)

    def _log_failure(self, failure: StoreFailure, reason: Exception | str) -> None:
        self._logs.failure(LogKind.STORE_CALL_FAILED, failure.value, reason)

"""A read of the store on a plain socket, for the time before trio is loaded."""

from __future__ import annotations

import socket

import h11

from sloepond.core.forwarding.commands import ReadSubject
from sloepond.core.forwarding.events import StoreEvent
from sloepond.runtime.forwarding.drivers import StoreCodec
from sloepond.runtime.forwarding.http_exchange import HttpExchange, HttpFailure, HttpResponse
from sloepond.runtime.forwarding.store_pages import PagedRead

READ_BYTES = 65_536


class EarlyRead:
    """One read of the store on a socket of its own."""

    def __init__(self, command: ReadSubject, endpoint: tuple[str, int], codec: StoreCodec) -> None:
        self.command = command
        self._exchange = HttpExchange(f"{endpoint[0]}:{endpoint[1]}")
        self._pages = PagedRead(command, codec)
        self._unsent = self._exchange.request(self._pages.target)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.socket.connect_ex(endpoint)

    @property
    def is_sending(self) -> bool:
        """Whether a request is being sent; else an answer is awaited."""
        return bool(self._unsent)

    def progress(self) -> StoreEvent | None:
        """Send or receive; return the event once the read has ended."""
        try:
            if self._unsent:
                self._unsent = self._unsent[self.socket.send(self._unsent) :]
                return None
            response = self._exchange.receive(self.socket.recv(READ_BYTES))
        except BlockingIOError:
            return None
        except OSError:
            return self._pages.answered(HttpFailure.UNREACHABLE)
        except h11.ProtocolError:
            return self._pages.answered(HttpFailure.MALFORMED)
        return self._take(response) if response is not None else None

    def _take(self, response: HttpResponse) -> StoreEvent | None:
        event = self._pages.answered(response)
        if event is None:
            self._unsent = self._exchange.request(self._pages.target)
        return event

"""A non-blocking UDP socket that is read in batches and never blocks to send.

Owns the socket.  Relies on the kernel's buffers: datagrams that exceed them are lost, and those that
cannot be sent are counted.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator

import trio

from sloepond.core.counters import Counters
from sloepond.runtime.addresses import SocketAddress, address_family, parse_address

BATCH_DATAGRAMS = 64
"""Maximum datagrams read in a batch, so that no socket starves the others."""

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
"""Requested receive buffer; the kernel reduces it to its own limit."""


class DatagramSocket:
    """A bound UDP socket.

    :param address: `ip:port` to bind to.
    :param maximum_bytes: largest accepted datagram; one byte more is read, so that the decoder
        detects a larger one.
    :param counters: `sends_dropped` counts datagrams dropped because the kernel's buffer was full,
        `sends_failed` those that the kernel refused for another reason.
    :raises OSError: if the address cannot be bound.
    """

    def __init__(self, address: str, maximum_bytes: int, counters: Counters | None = None) -> None:
        self._counters = counters or Counters()
        self._maximum_bytes = maximum_bytes
        socket_address = parse_address(address)
        self._socket = socket.socket(address_family(socket_address), socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._socket.bind(socket_address)
        except OSError:
            self._socket.close()
            raise

    @property
    def local_address(self) -> SocketAddress:
        """Host and port the socket is bound to."""
        name = self._socket.getsockname()
        return (name[0], name[1])

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self._socket.fileno()

    async def wait_readable(self) -> None:
        """Wait until a datagram can be read."""
        await trio.lowlevel.wait_readable(self._socket)

    def receive_batch(self) -> Iterator[tuple[bytes, SocketAddress]]:
        """Yield the received datagrams with their sources, at most `BATCH_DATAGRAMS`."""
        receive = self._socket.recvfrom
        size = self._maximum_bytes + 1
        for _ in range(BATCH_DATAGRAMS):
            try:
                received = receive(size)
            except BlockingIOError:
                return
            except OSError:
                # The kernel reports the failed delivery of an earlier datagram here.
                self._counters.sends_failed += 1
                return
            yield received

    def send(self, datagram: bytes, address: SocketAddress) -> None:
        """Send without blocking; a datagram that cannot be sent is counted and dropped."""
        try:
            self._socket.sendto(datagram, address)
        except BlockingIOError:
            self._counters.sends_dropped += 1
        except OSError:
            self._counters.sends_failed += 1

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

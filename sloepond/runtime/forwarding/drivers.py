"""Interfaces that a platform's adapter implements: formats of packets, store and settings.

Adapters make no decisions.  Owns only these interfaces and the types that they return.  Relies on
the core's packets, commands and events; a platform's adapter relies on this module.
"""

from __future__ import annotations

import abc
from collections.abc import Callable, Mapping

import msgspec

from sloepond.core.forwarding.commands import ReadSubject, WatchSubject
from sloepond.core.forwarding.events import ChangesEvent, StoreEvent, Subject
from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.runtime.forwarding.process import ForwardingSettings


class PacketCodec(abc.ABC):
    """Packet format: decodes headers of datagrams and encodes datagrams."""

    @abc.abstractmethod
    def decode(self, datagram: bytes) -> Segment | None:
        """Return the header of a caller's packet, None if the datagram is not a packet."""

    @abc.abstractmethod
    def encode(self, datagram: bytes, backend: ForwardingBackend) -> bytes:
        """Return the datagram that forwards the packet to a back end."""

    @abc.abstractmethod
    def encode_reset(self, segment: Segment) -> bytes:
        """Return a datagram that resets the flow of a caller's packet."""

    @abc.abstractmethod
    def request_id(self, datagram: bytes) -> str:
        """Return the id of the request that begins in a packet, empty if none; used in log lines only."""

    @abc.abstractmethod
    def caller_endpoint(self, segment: Segment) -> tuple[str, int]:
        """Return the IP address and port to which packets for the caller are sent."""


class ReadPage(msgspec.Struct, frozen=True):
    """One page of a read.

    :ivar event: its content, or `StoreCallFailed` if it cannot be decoded.
    :ivar next_page: key after which the next page begins, empty for the last page.
    """

    event: StoreEvent
    next_page: str = ""


class StoreCodec(abc.ABC):
    """Keys and formats of the platform's store.

    A response that cannot be decoded is returned as `StoreCallFailed` with a detail.
    """

    @abc.abstractmethod
    def read_target(self, command: ReadSubject, page: str) -> str:
        """Return the target of a GET that reads a page of a subject."""

    @abc.abstractmethod
    def watch_target(self, command: WatchSubject) -> str:
        """Return the target of a long-polling GET that waits for changes."""

    @abc.abstractmethod
    def probe_target(self) -> str:
        """Return the target of the cheapest GET, which only shows that the store responds."""

    @abc.abstractmethod
    def decode_page(self, subject: Subject, body: bytes) -> ReadPage:
        """Return the content of a page."""

    @abc.abstractmethod
    def decode_watch(self, command: WatchSubject, body: bytes) -> ChangesEvent:
        """Return the changes in the response to a watch."""


class PlatformDrivers:
    """The adapter of one platform.

    :ivar read_settings: reads the settings file; raises OSError, KeyError or ValueError.
    :ivar file_names: name in the settings file of each setting whose name differs there.
    """

    def __init__(
        self,
        packets: PacketCodec,
        store: StoreCodec,
        read_settings: Callable[[], ForwardingSettings],
        file_names: Mapping[str, str],
    ) -> None:
        self.packets = packets
        self.store = store
        self.read_settings = read_settings
        self.file_names = file_names

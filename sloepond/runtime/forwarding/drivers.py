"""What a platform's adapter provides: formats of packets, store and settings; nothing that decides.

Owns only these interfaces and the types they return.  Relies on the core's packets, commands and
events; the adapter of a platform relies on this module.
"""

from __future__ import annotations

import abc
from collections.abc import Callable, Mapping

import msgspec

from sloepond.core.forwarding.commands import ReadSubject, WatchSubject
from sloepond.core.forwarding.events import StoreEvent, Subject
from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.runtime.forwarding.process import ForwardingSettings


class PacketCodec(abc.ABC):
    """Format of packets: bytes of datagrams in, heads and datagrams out."""

    @abc.abstractmethod
    def decode(self, datagram: bytes) -> Segment | None:
        """Return the head of a caller's packet, None if the datagram holds no packet."""

    @abc.abstractmethod
    def encode(self, datagram: bytes, backend: ForwardingBackend) -> bytes:
        """Return the packet as it is sent to a back end."""

    @abc.abstractmethod
    def encode_reset(self, segment: Segment) -> bytes:
        """Return a packet that resets the flow of a caller's packet."""

    @abc.abstractmethod
    def request_id(self, datagram: bytes) -> str:
        """Return the id of the request that begins in a packet, empty if none does; for log lines only."""

    @abc.abstractmethod
    def caller_endpoint(self, segment: Segment) -> tuple[str, int]:
        """Return IP address and port that packets for the caller are sent to."""


class ReadPage(msgspec.Struct, frozen=True):
    """One page of a read.

    :ivar event: what it holds, or why it cannot be decoded.
    :ivar next_page: where the next page begins, empty if this is the last.
    """

    event: StoreEvent
    next_page: str = ""


class StoreCodec(abc.ABC):
    """Keys and formats of the platform's store.

    An answer that cannot be decoded is returned as `StoreCallFailed` with a detail.
    """

    @abc.abstractmethod
    def read_target(self, command: ReadSubject, page: str) -> str:
        """Return the target of a GET that reads a page of a subject."""

    @abc.abstractmethod
    def watch_target(self, command: WatchSubject) -> str:
        """Return the target of a GET that waits for changes."""

    @abc.abstractmethod
    def probe_target(self) -> str:
        """Return the target of the cheapest GET, which only shows that the store answers."""

    @abc.abstractmethod
    def decode_page(self, subject: Subject, body: bytes) -> ReadPage:
        """Return what a page holds."""

    @abc.abstractmethod
    def decode_watch(self, command: WatchSubject, body: bytes) -> StoreEvent:
        """Return the changes in a watch's answer."""


class PlatformDrivers:
    """All that a balancer needs of a platform.

    :ivar read_settings: reads the settings file; raises OSError, KeyError or ValueError.
    :ivar file_names: name in the settings file of each setting that has another name in there.
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

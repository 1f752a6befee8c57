"""What a platform's adapter provides: formats and calls, nothing that decides."""

from __future__ import annotations

import abc

import msgspec

from sloepond.core.forwarding.commands import ReadSubject, WatchSubject
from sloepond.core.forwarding.events import StoreEvent, Subject
from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.state.backend import ForwardingBackend


class PacketCodec(abc.ABC):
    """Format of packets."""

    @abc.abstractmethod
    def decode(self, datagram: bytes) -> Segment | None:
        """Return the head of a caller's packet, None where it is none."""

    @abc.abstractmethod
    def encode(self, datagram: bytes, backend: ForwardingBackend) -> bytes:
        """Return the packet as it is sent to a back end."""

    @abc.abstractmethod
    def encode_reset(self, segment: Segment) -> bytes:
        """Return a packet that tells the caller that its flow was not opened."""

    @abc.abstractmethod
    def request_id(self, datagram: bytes) -> str:
        """Return the id of the request that begins in a packet, empty where none does.

        For log lines only: nothing is decided by it.
        """

    @abc.abstractmethod
    def caller_endpoint(self, segment: Segment) -> tuple[str, int]:
        """Return where packets for the caller are sent."""


class ReadPage(msgspec.Struct, frozen=True):
    """One page of a read.

    :ivar next_page: where the next page begins, empty where this is the last.
    """

    event: StoreEvent
    next_page: str = ""


class StoreCodec(abc.ABC):
    """Names and formats of the platform's store; what it cannot decode is an event too."""

    @abc.abstractmethod
    def read_target(self, command: ReadSubject, page: str) -> str:
        """Return the target of a GET that reads a page of a subject."""

    @abc.abstractmethod
    def watch_target(self, command: WatchSubject) -> str:
        """Return the target of a GET that waits for changes."""

    @abc.abstractmethod
    def probe_target(self) -> str:
        """Return the target of a GET that brings next to nothing."""

    @abc.abstractmethod
    def decode_page(self, subject: Subject, body: bytes) -> ReadPage:
        """Return what a read has brought."""

    @abc.abstractmethod
    def decode_watch(self, command: WatchSubject, body: bytes) -> StoreEvent:
        """Return what a watch has brought."""

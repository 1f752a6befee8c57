"""Fetches a newer generation from a balancer that has it in force.

Owns the one fetch in progress and the balancers known to have a newer generation.  Relies on
`ConfigurationStore` to check fetched generations.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import msgspec

from sloepond.core.configuration.assembly import (
    PartAssembly,
    TransferHeader,
    header_of,
    is_well_formed,
)
from sloepond.core.configuration.sender import WINDOW_PARTS
from sloepond.core.configuration.sources import Source, Sources
from sloepond.core.context import NEVER, NodeContext
from sloepond.core.messages import ConfigurationPart, ConfigurationRequested
from sloepond.core.settings import ConfigurationSettings

TIMEOUT_JITTER = 0.25
"""Share by which timeouts are lengthened at random, so that balancers do not send at the same time."""
MAXIMUM_REQUESTS_WITHOUT_PARTS = 2
"""Requests in a row without any new part after which another source is tried."""


class FetchedTransfer(msgspec.Struct, frozen=True):
    """A complete transfer, not decoded or checked yet."""

    address: str
    header: TransferHeader
    data: bytes


@dataclasses.dataclass(slots=True)
class _Attempt:
    """A fetch in progress from one source.

    :ivar have_generation: base generation of the requested delta, 0 for a snapshot.
    :ivar window_end: index of the first part after the requested ones.
    """

    source: Source
    have_generation: int
    deadline: float = NEVER
    assembly: PartAssembly | None = None
    window_end: int = WINDOW_PARTS
    requests_without_parts: int = 0


class ConfigurationFetcher:
    """Requests parts from one source at a time, and from another one if it does not answer.

    :param in_force: returns the generation in force.
    """

    def __init__(
        self, context: NodeContext, settings: ConfigurationSettings, in_force: Callable[[], int]
    ) -> None:
        self._context = context
        self._timeout_s = settings.request_timeout_s
        self._in_force = in_force
        self._attempt: _Attempt | None = None
        self._needs_snapshot = False
        self.sources = Sources()

    def source_announced(self, source: Source) -> None:
        """Record a balancer with a newer generation, and fetch it if no fetch is in progress."""
        self.sources.add_announcement(source)
        if self._attempt is None:
            self._start()

    def _start(self) -> None:
        source = self.sources.choose(self._context.random)
        if source is None:
            self._attempt = None
            return
        have = 0 if self._needs_snapshot else self._in_force()
        self._attempt = _Attempt(source, have)
        self._request(self._attempt)

    def _request(self, attempt: _Attempt) -> None:
        assembly = attempt.assembly
        first = assembly.first_missing if assembly else 0
        want = assembly.header.generation if assembly else attempt.source.generation
        attempt.window_end = first + WINDOW_PARTS
        jitter = 1.0 + TIMEOUT_JITTER * self._context.random.random()
        attempt.deadline = self._context.now + self._timeout_s * jitter
        message = ConfigurationRequested(attempt.have_generation, want, first)
        self._context.send_to_peer(attempt.source.address, message)

    def part_received(self, address: str, part: ConfigurationPart) -> FetchedTransfer | None:
        """Add a part to the transfer; return the transfer once it is complete."""
        attempt = self._attempt
        if not is_well_formed(part):
            self._context.counters.input_malformed += 1
            return None
        if attempt is None or address != attempt.source.address or not self._is_expected(attempt, part):
            return None
        assembly = self._assembly_for(attempt, header_of(part))
        if assembly is None or not assembly.add(part):
            return None
        attempt.requests_without_parts = 0
        if assembly.is_complete:
            return FetchedTransfer(address, assembly.header, assembly.data())
        if assembly.first_missing >= attempt.window_end:
            self._request(attempt)
        return None

    def _is_expected(self, attempt: _Attempt, part: ConfigurationPart) -> bool:
        if part.generation <= self._in_force():
            return False
        return part.base_generation in (0, attempt.have_generation)

    def _assembly_for(self, attempt: _Attempt, header: TransferHeader) -> PartAssembly | None:
        """Return the assembly of a transfer; a newer transfer replaces an older one in progress."""
        current = attempt.assembly
        if current is not None and current.header == header:
            return current
        if current is not None and header.generation <= current.header.generation:
            return None
        attempt.assembly = PartAssembly(header)
        return attempt.assembly

    def generation_changed(self) -> None:
        """Drop the fetch in progress, and fetch a generation newer than the one in force if there is one."""
        self._needs_snapshot = False
        self.sources.drop_up_to(self._in_force())
        self._start()

    def transfer_failed(self, transfer: FetchedTransfer) -> None:
        """Fetch again after a transfer that did not lead to the announced digest.

        A delta may fail because this balancer holds other content under the base generation; then the whole
        snapshot is requested.  After a failed snapshot another source is tried.
        """
        if transfer.header.base_generation == 0:
            self.sources.drop(transfer.address)
        self._needs_snapshot = True
        self._start()

    def version_rejected(self, generation: int, digest: str) -> None:
        """Stop fetching a version that must not be put in force.

        :param digest: first digits of its digest.
        """
        self.sources.drop_version(generation, digest)
        self._start()

    def next_deadline(self) -> float:
        """Return when the request in progress times out."""
        return self._attempt.deadline if self._attempt else NEVER

    def on_timer(self) -> None:
        """Repeat a request that timed out, or try another source."""
        attempt = self._attempt
        if attempt is None or self._context.now < attempt.deadline:
            return
        attempt.requests_without_parts += 1
        if attempt.requests_without_parts <= MAXIMUM_REQUESTS_WITHOUT_PARTS:
            self._request(attempt)
            return
        self.sources.drop(attempt.source.address)
        self._start()

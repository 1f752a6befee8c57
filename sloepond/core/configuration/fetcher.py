"""Fetches a newer generation from a balancer that has it in force.

Owns the one fetch under way and the balancers known to have more.  Relies on
`ConfigurationStore` to judge what it has fetched.
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
"""Share by which timeouts vary, so that balancers do not ask in step."""
FRUITLESS_REQUESTS = 2
"""Requests without any new part after which another source is asked."""


class FetchedTransfer(msgspec.Struct, frozen=True):
    """A complete transfer, not decoded or checked yet."""

    address: str
    header: TransferHeader
    data: bytes


@dataclasses.dataclass(slots=True)
class _Attempt:
    """A fetch under way from one source.

    :ivar have_generation: generation the delta is asked for.
    :ivar window_end: first part after those asked for.
    """

    source: Source
    have_generation: int
    deadline: float = NEVER
    assembly: PartAssembly | None = None
    window_end: int = WINDOW_PARTS
    fruitless: int = 0


class ConfigurationFetcher:
    """Asks one source at a time; another one if it does not answer.

    :param in_force: returns the generation in force.
    """

    def __init__(
        self, context: NodeContext, settings: ConfigurationSettings, in_force: Callable[[], int]
    ) -> None:
        self._context = context
        self._timeout_s = settings.request_timeout_s
        self._in_force = in_force
        self._attempt: _Attempt | None = None
        self._snapshot_wanted = False
        self.sources = Sources()

    def source_announced(self, source: Source) -> None:
        """Note a balancer with a newer generation and fetch it."""
        self.sources.note(source)
        if self._attempt is None:
            self._start()

    def _start(self) -> None:
        source = self.sources.choose(self._context.random)
        if source is None:
            self._attempt = None
            return
        have = 0 if self._snapshot_wanted else self._in_force()
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
        """Take a part; return the whole transfer once it is complete."""
        attempt = self._attempt
        if not is_well_formed(part):
            self._context.counters.input_malformed += 1
            return None
        if attempt is None or address != attempt.source.address or not self._is_wanted(attempt, part):
            return None
        assembly = self._assembly_for(attempt, header_of(part))
        if assembly is None or not assembly.add(part):
            return None
        attempt.fruitless = 0
        if assembly.is_complete:
            return FetchedTransfer(address, assembly.header, assembly.data())
        if assembly.first_missing >= attempt.window_end:
            self._request(attempt)
        return None

    def _is_wanted(self, attempt: _Attempt, part: ConfigurationPart) -> bool:
        if part.generation <= self._in_force():
            return False
        return part.base_generation in (0, attempt.have_generation)

    def _assembly_for(self, attempt: _Attempt, header: TransferHeader) -> PartAssembly | None:
        """Return the assembly of a transfer; an older one under way gives way to it."""
        present = attempt.assembly
        if present is not None and present.header == header:
            return present
        if present is not None and header.generation <= present.header.generation:
            return None
        attempt.assembly = PartAssembly(header)
        return attempt.assembly

    def generation_changed(self) -> None:
        """Drop what is under way and fetch what is newer than the generation in force."""
        self._snapshot_wanted = False
        self.sources.drop_up_to(self._in_force())
        self._start()

    def transfer_failed(self, transfer: FetchedTransfer) -> None:
        """Ask again after a transfer that did not lead to the promised digest.

        A delta may fail because this balancer holds other content under the base
        generation; then the whole snapshot is asked for.  A snapshot that fails
        means another source.
        """
        if transfer.header.base_generation == 0:
            self.sources.drop(transfer.address)
        self._snapshot_wanted = True
        self._start()

    def version_rejected(self, generation: int, digest: str) -> None:
        """Stop fetching a version that must not be put in force.

        :param digest: first digits of its digest.
        """
        self.sources.drop_version(generation, digest)
        self._start()

    def next_deadline(self) -> float:
        """Return when the present request times out."""
        return self._attempt.deadline if self._attempt else NEVER

    def on_timer(self) -> None:
        """Repeat a request that timed out, or ask another source."""
        attempt = self._attempt
        if attempt is None or self._context.now < attempt.deadline:
            return
        attempt.fruitless += 1
        if attempt.fruitless <= FRUITLESS_REQUESTS:
            self._request(attempt)
            return
        self.sources.drop(attempt.source.address)
        self._start()

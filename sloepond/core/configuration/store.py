"""The configuration in force on one balancer.

A generation is put in force if it is higher than the one in force, valid as a whole, and matches its digest.
A lower one never replaces a higher one, whatever its source.  Two contents under one generation are a fault
of the platform: the first one stays in force and the other is reported.

Owns the generation in force and the candidate that is being checked.  Relies on the other modules of this
package, each for one task, and on the node for time and messages.
"""

from __future__ import annotations

import msgspec

from sloepond.core.commands import TransitionKind
from sloepond.core.configuration.announcer import ConfigurationAnnouncer
from sloepond.core.configuration.delta import ConfigurationDelta
from sloepond.core.configuration.fetcher import ConfigurationFetcher, FetchedTransfer
from sloepond.core.configuration.judgement import (
    GenerationCheckResult,
    Outcome,
    check_snapshot,
    check_transfer,
)
from sloepond.core.configuration.read_schedule import ReadSchedule
from sloepond.core.configuration.rejections import Rejections
from sloepond.core.configuration.sender import ConfigurationSender
from sloepond.core.configuration.sliced_work import SLICE_UNITS, SlicedWork
from sloepond.core.configuration.sources import DIGEST_PREFIX, Source
from sloepond.core.configuration.startup import StartupHold
from sloepond.core.context import NEVER, NodeContext
from sloepond.core.messages import (
    ConfigurationOffered,
    ConfigurationPart,
    ConfigurationRequested,
    Member,
    PeerMessage,
)
from sloepond.core.settings import ConfigurationSettings
from sloepond.resources.compiled import EMPTY_CONFIGURATION, CompiledConfiguration
from sloepond.resources.model import ConfigurationSnapshot
from sloepond.resources.slices import Slices

CONTENT_CONFLICT = "another content is in force under this generation"


class CandidateGeneration(msgspec.Struct, frozen=True):
    """A generation that is being checked, as a change of the one in force.

    :ivar base: configuration in force when the check began.
    :ivar digest: digest announced by the source.
    :ivar transfer: transfer from a balancer, None for the platform.
    """

    base: CompiledConfiguration
    generation: int
    digest: str
    transfer: FetchedTransfer | None

    @property
    def source_address(self) -> str | None:
        """Address of the balancer it came from, None for the platform."""
        return self.transfer.address if self.transfer else None


class ConfigurationStore:
    """Reads, checks, keeps and distributes the configuration.

    One generation is checked at a time; a large one takes many calls of `on_timer`.

    :ivar in_force: configuration in force; generation 0 at first.
    :param slice_units: units of work done in one call (see `resources.slices`).
    """

    def __init__(
        self,
        context: NodeContext,
        settings: ConfigurationSettings,
        slice_units: int = SLICE_UNITS,
    ) -> None:
        self._context = context
        self.in_force: CompiledConfiguration = EMPTY_CONFIGURATION
        self._service_up = True
        self._work: SlicedWork[GenerationCheckResult] = SlicedWork(context, slice_units)
        self._candidate: CandidateGeneration | None = None
        self._pending_snapshot: ConfigurationSnapshot | None = None
        self._rejections = Rejections(context)
        self._hold = StartupHold(context, settings.startup_wait_s)
        self._schedule = ReadSchedule(context, settings)
        self._sender = ConfigurationSender(context, settings, slice_units)
        self._announcer = ConfigurationAnnouncer(context)
        self._fetcher = ConfigurationFetcher(context, settings, lambda: self.in_force.generation)

    @property
    def is_ready(self) -> bool:
        """Return whether a generation is in force."""
        return self.in_force.generation > 0

    def machine_list_received(self, members: tuple[Member, ...]) -> None:
        """Store the platform's list of machines, which may be out of date."""
        self._announcer.machine_list_received(members)

    def snapshot_read(self, snapshot: ConfigurationSnapshot) -> None:
        """Handle a snapshot from the platform's service, which may be stale."""
        self._hold.start()
        self._context.counters.configuration_reads += 1
        self._record_service_state(is_up=True, detail="answers")
        if self.is_ready:
            self._check_snapshot(snapshot)
            return
        self._hold.hold(snapshot)
        self._check_held()

    def read_unchanged(self) -> None:
        """Record that the platform's service answered that there is no newer generation."""
        self._context.counters.configuration_reads += 1
        self._record_service_state(is_up=True, detail="answers")

    def read_failed(self, reason: str) -> None:
        """Record that the platform's service is down or its answer is invalid."""
        self._context.counters.configuration_read_failures += 1
        self._record_service_state(is_up=False, detail=reason)

    def _record_service_state(self, is_up: bool, detail: str) -> None:
        if is_up == self._service_up:
            return
        self._service_up = is_up
        kind = TransitionKind.CONFIGURATION_SERVICE_DOWN
        if is_up:
            kind = TransitionKind.CONFIGURATION_SERVICE_UP
        self._context.record_transition(kind, "configuration service", detail)

    def _check_held(self) -> None:
        snapshot = self._hold.release_snapshot()
        if snapshot is not None:
            self._check_snapshot(snapshot)

    def _check_snapshot(self, snapshot: ConfigurationSnapshot) -> None:
        """Check a snapshot now, or after the check in progress; only the newest one waits."""
        if not self._is_newer(snapshot.generation, snapshot.digest):
            return
        if not self._work.is_busy:
            candidate = CandidateGeneration(self.in_force, snapshot.generation, snapshot.digest, None)
            self._start_check(candidate, check_snapshot(self.in_force, snapshot))
        elif self._pending_snapshot is None or snapshot.generation > self._pending_snapshot.generation:
            self._pending_snapshot = snapshot

    def _is_newer(self, generation: int, digest: str) -> bool:
        """Return whether a version is a candidate; report conflicting content."""
        current = self.in_force
        if generation < current.generation:
            self._context.counters.configuration_older_ignored += 1
            return False
        if generation == current.generation:
            if digest[:DIGEST_PREFIX] != current.digest[:DIGEST_PREFIX]:
                self._rejections.add(generation, digest, CONTENT_CONFLICT)
            return False
        return not self._rejections.includes(generation, digest)

    def _start_check(self, candidate: CandidateGeneration, work: Slices[GenerationCheckResult]) -> None:
        self._candidate = candidate
        self._work.start(work, lambda result: self._check_finished(candidate, result))

    def _check_finished(self, candidate: CandidateGeneration, result: GenerationCheckResult) -> None:
        self._candidate = None
        is_consistent = self._apply_result(candidate, result)
        if not is_consistent and candidate.transfer is not None:
            self._fetcher.transfer_failed(candidate.transfer)
        pending = self._pending_snapshot
        self._pending_snapshot = None
        if pending is not None:
            self._check_snapshot(pending)

    def _apply_result(self, candidate: CandidateGeneration, result: GenerationCheckResult) -> bool:
        """Put an accepted candidate in force, or report why it was rejected.

        :returns: whether the content matched its announcement.
        """
        if result.outcome is Outcome.MALFORMED:
            self._context.counters.input_malformed += 1
            return False
        if self.in_force is not candidate.base:
            return False
        if result.outcome is Outcome.MISMATCH:
            if candidate.transfer is None:
                self._rejections.add(candidate.generation, result.digest, result.reason)
            return False
        if result.configuration is not None and result.delta is not None:
            self._put_in_force(candidate, result.configuration, result.delta)
        else:
            self._rejections.add(candidate.generation, candidate.digest, result.reason)
            self._fetcher.version_rejected(candidate.generation, candidate.digest[:DIGEST_PREFIX])
        return True

    def _put_in_force(
        self, candidate: CandidateGeneration, configuration: CompiledConfiguration, delta: ConfigurationDelta
    ) -> None:
        previous = self.in_force
        self.in_force = configuration
        self._context.counters.configuration_changes += 1
        source = candidate.source_address or "the platform"
        self._context.record_transition(
            TransitionKind.CONFIGURATION_IN_FORCE,
            f"generation {configuration.generation}",
            f"digest {configuration.digest[:DIGEST_PREFIX]}, from {source}",
        )
        self._sender.generation_applied(previous.generation, configuration.generation, delta)
        self._announcer.generation_applied(configuration)
        self._fetcher.generation_changed()

    def generation_announced(self, address: str, generation: int, digest: str) -> None:
        """Handle a peer's announcement of the generation it has in force.

        :param address: peer address `ip:port`.
        :param digest: first 8 hexadecimal digits of the digest.
        """
        self._hold.start()
        if generation <= 0 or generation < self.in_force.generation:
            return
        if not self._is_newer(generation, digest):
            return
        if not self.is_ready:
            self._hold.peer_announced(generation)
            self._check_held()
        if generation > self.in_force.generation:
            source = Source(address, generation, digest[:DIGEST_PREFIX], self._context.now)
            self._source_announced(source)

    def _source_announced(self, source: Source) -> None:
        """Fetch a peer's generation, but not during a check: it may be the same generation."""
        if self._work.is_busy:
            self._fetcher.sources.add_announcement(source)
        else:
            self._fetcher.source_announced(source)

    def handle(self, sender_address: str, message: PeerMessage) -> None:
        """Handle a message about the configuration from another balancer."""
        if isinstance(message, ConfigurationRequested):
            self._sender.request_received(sender_address, message, self.in_force)
        elif isinstance(message, ConfigurationPart):
            self._part_received(sender_address, message)
        elif isinstance(message, ConfigurationOffered):
            if message.generation < self.in_force.generation:
                self._announcer.older_offer_received(sender_address)
            self.generation_announced(sender_address, message.generation, message.digest)

    def _part_received(self, address: str, part: ConfigurationPart) -> None:
        self._context.counters.configuration_parts_received += 1
        if self._work.is_busy:
            return
        transfer = self._fetcher.part_received(address, part)
        if transfer is None:
            return
        header = transfer.header
        if not self._is_newer(header.generation, header.digest):
            self._fetcher.transfer_failed(transfer)
            return
        candidate = CandidateGeneration(self.in_force, header.generation, header.digest, transfer)
        self._start_check(candidate, check_transfer(self.in_force, transfer))

    def next_deadline(self) -> float:
        """Return when to call `on_timer` next."""
        fetcher_deadline = NEVER if self._work.is_busy else self._fetcher.next_deadline()
        return min(
            self._work.next_deadline(),
            fetcher_deadline,
            self._schedule.next_deadline(),
            self._sender.next_deadline(),
            self._announcer.next_deadline(),
            self._hold.next_deadline(),
        )

    def on_timer(self) -> None:
        """Do what is due: reads, requests, offers, and a slice of the work in progress."""
        self._hold.start()
        self._schedule.on_timer(self._known_generation())
        self._check_held()
        self._work.on_timer()
        if not self._work.is_busy:
            self._fetcher.on_timer()
        self._sender.on_timer()
        self._announcer.on_timer()

    def _known_generation(self) -> int:
        """Return the highest generation that is held, waiting, being checked or in force here."""
        known = (self._hold.held, self._pending_snapshot, self._candidate)
        return max([self.in_force.generation, *(item.generation for item in known if item is not None)])

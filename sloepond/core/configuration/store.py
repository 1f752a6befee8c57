"""The configuration in force on one balancer.

A generation is put in force if it is higher than the present one, valid as a
whole and matches its digest.  A lower one never replaces it, wherever it comes
from.  Two contents under one generation are a fault of the platform: the first
one stays and the other is reported.
"""

from __future__ import annotations

import msgspec

from sloepond.core.commands import TransitionKind
from sloepond.core.configuration.announcer import ConfigurationAnnouncer
from sloepond.core.configuration.delta import ConfigurationDelta, difference
from sloepond.core.configuration.encoding import decode_delta
from sloepond.core.configuration.fetcher import ConfigurationFetcher, FetchedTransfer
from sloepond.core.configuration.read_schedule import ReadSchedule
from sloepond.core.configuration.rejections import Rejections
from sloepond.core.configuration.sender import ConfigurationSender
from sloepond.core.configuration.sources import DIGEST_PREFIX, Source
from sloepond.core.configuration.startup import StartupHold
from sloepond.core.configuration.validation import findings_after, is_sorted
from sloepond.core.context import NodeContext
from sloepond.core.membership_reader import MembershipReader
from sloepond.core.messages import (
    ConfigurationOffered,
    ConfigurationPart,
    ConfigurationRequested,
    Member,
    PeerMessage,
)
from sloepond.core.settings import ConfigurationSettings
from sloepond.resources.compiled import (
    EMPTY_CONFIGURATION,
    CompiledConfiguration,
    resource_key,
    updated_snapshot,
)
from sloepond.resources.model import ConfigurationSnapshot

REPORTED_FINDINGS = 3
"""Findings named in the report of a rejected generation."""
DIGEST_MISMATCH = "the digest does not match the resources"
CONTENT_CONFLICT = "another content is in force under this generation"


class Candidate(msgspec.Struct, frozen=True):
    """A generation that may be put in force, as a change of the present one.

    :ivar digest: digest promised by whoever it came from.
    :ivar source_address: balancer it came from, None for the platform.
    """

    generation: int
    digest: str
    delta: ConfigurationDelta
    source_address: str | None


class ConfigurationStore:
    """Reads, checks, keeps and spreads the configuration.

    :ivar in_force: what is in force; generation 0 at first.
    """

    def __init__(
        self, context: NodeContext, settings: ConfigurationSettings, membership_view: MembershipReader
    ) -> None:
        self._context = context
        self.in_force: CompiledConfiguration = EMPTY_CONFIGURATION
        self._service_up = True
        self._rejections = Rejections(context)
        self._hold = StartupHold(context, settings.startup_wait_s)
        self._schedule = ReadSchedule(context, settings, membership_view)
        self._sender = ConfigurationSender(context, settings)
        self._announcer = ConfigurationAnnouncer(context, membership_view)
        self._fetcher = ConfigurationFetcher(context, settings, lambda: self.in_force.generation)

    @property
    def is_ready(self) -> bool:
        """Return whether a generation is in force."""
        return self.in_force.generation > 0

    def foreign_members_known(self, members: tuple[Member, ...]) -> None:
        """Take the platform's list of machines of all cells; a hint that may lag."""
        self._announcer.machines_known(members)

    def snapshot_read(self, snapshot: ConfigurationSnapshot) -> None:
        """Take what the platform's service answered; may be old."""
        self._hold.start()
        self._context.counters.configuration_reads += 1
        self._note_service(is_up=True, detail="answers")
        if self.is_ready:
            self._judge_snapshot(snapshot)
            return
        self._hold.hold(snapshot)
        self._judge_held()

    def read_unchanged(self) -> None:
        """Note that the platform's service answered that nothing is new."""
        self._context.counters.configuration_reads += 1
        self._note_service(is_up=True, detail="answers")

    def read_failed(self, reason: str) -> None:
        """Note that the platform's service is down or its answer is invalid."""
        self._context.counters.configuration_read_failures += 1
        self._note_service(is_up=False, detail=reason)

    def _note_service(self, is_up: bool, detail: str) -> None:
        if is_up == self._service_up:
            return
        self._service_up = is_up
        kind = TransitionKind.CONFIGURATION_SERVICE_DOWN
        if is_up:
            kind = TransitionKind.CONFIGURATION_SERVICE_UP
        self._context.record_transition(kind, "configuration service", detail)

    def _judge_held(self) -> None:
        snapshot = self._hold.take_released()
        if snapshot is not None:
            self._judge_snapshot(snapshot)

    def _judge_snapshot(self, snapshot: ConfigurationSnapshot) -> None:
        if not self._is_newer(snapshot.generation, snapshot.digest):
            return
        resources = snapshot.resources
        if not is_sorted(resources):
            resources = tuple(sorted(resources, key=resource_key))
        delta = difference(self.in_force.snapshot.resources, resources)
        self._judge(Candidate(snapshot.generation, snapshot.digest, delta, None))

    def _is_newer(self, generation: int, digest: str) -> bool:
        """Return whether a version is to be considered; report a conflict."""
        present = self.in_force
        if generation < present.generation:
            self._context.counters.configuration_older_ignored += 1
            return False
        if generation == present.generation:
            if digest[:DIGEST_PREFIX] != present.digest[:DIGEST_PREFIX]:
                self._rejections.add(generation, digest, CONTENT_CONFLICT)
            return False
        return not self._rejections.includes(generation, digest)

    def _judge(self, candidate: Candidate) -> bool:
        """Put a candidate in force if it is newer and right as a whole.

        :returns: whether it was put in force.
        """
        if not self._is_newer(candidate.generation, candidate.digest):
            return False
        delta = candidate.delta
        snapshot = updated_snapshot(
            self.in_force.snapshot, candidate.generation, delta.changed, delta.removed
        )
        if snapshot.digest != candidate.digest:
            if candidate.source_address is None:
                self._rejections.add(candidate.generation, snapshot.digest, DIGEST_MISMATCH)
            return False
        findings = findings_after(self.in_force, delta, snapshot.resources)
        if findings:
            shown = "; ".join(str(finding) for finding in findings[:REPORTED_FINDINGS])
            self._reject(candidate, f"{len(findings)} findings: {shown}")
            return False
        self._put_in_force(candidate, snapshot)
        return True

    def _reject(self, candidate: Candidate, reason: str) -> None:
        self._rejections.add(candidate.generation, candidate.digest, reason)
        self._fetcher.version_rejected(candidate.generation, candidate.digest[:DIGEST_PREFIX])

    def _put_in_force(self, candidate: Candidate, snapshot: ConfigurationSnapshot) -> None:
        former = self.in_force
        delta = candidate.delta
        self.in_force = former.updated_to(snapshot, delta.changed, delta.removed)
        self._context.counters.configuration_changes += 1
        source = candidate.source_address or "the platform"
        self._context.record_transition(
            TransitionKind.CONFIGURATION_IN_FORCE,
            f"generation {snapshot.generation}",
            f"digest {snapshot.digest[:DIGEST_PREFIX]}, from {source}",
        )
        self._sender.generation_taken(former.generation, snapshot.generation, delta)
        self._announcer.generation_taken(self.in_force, candidate.source_address)
        self._fetcher.generation_changed()

    def generation_heard(self, address: str, generation: int, digest: str) -> None:
        """Take what a peer said it has in force, in a heartbeat or an offer.

        :param address: peer address `ip:port`.
        :param digest: first 8 hexadecimal digits of the digest.
        """
        self._hold.start()
        if generation <= 0 or generation < self.in_force.generation:
            return
        if not self._is_newer(generation, digest):
            return
        if not self.is_ready:
            self._hold.peer_heard(generation)
            self._judge_held()
        if generation > self.in_force.generation:
            source = Source(address, generation, digest[:DIGEST_PREFIX], self._context.now)
            self._fetcher.source_heard(source)

    def handle(self, sender_address: str, message: PeerMessage) -> None:
        """Take a message about the configuration from another balancer."""
        if isinstance(message, ConfigurationRequested):
            self._sender.request_received(sender_address, message, self.in_force)
        elif isinstance(message, ConfigurationPart):
            self._part_received(sender_address, message)
        elif isinstance(message, ConfigurationOffered):
            if message.generation < self.in_force.generation:
                self._announcer.older_offer_received(sender_address)
            self.generation_heard(sender_address, message.generation, message.digest)

    def _part_received(self, address: str, part: ConfigurationPart) -> None:
        self._context.counters.configuration_parts_received += 1
        transfer = self._fetcher.part_received(address, part)
        if transfer is not None and not self._take_transfer(transfer):
            self._fetcher.transfer_failed(transfer)

    def _take_transfer(self, transfer: FetchedTransfer) -> bool:
        """Judge a complete transfer; return whether it was what it promised."""
        header = transfer.header
        delta = decode_delta(transfer.data)
        if delta is None:
            self._context.counters.input_malformed += 1
            return False
        if header.base_generation == 0:
            resources = sorted(delta.changed, key=resource_key)
            delta = difference(self.in_force.snapshot.resources, resources)
        elif header.base_generation != self.in_force.generation:
            return False
        candidate = Candidate(header.generation, header.digest, delta, transfer.address)
        return self._judge(candidate) or self._rejections.includes(header.generation, header.digest)

    def next_deadline(self) -> float:
        """Return when `on_time` is to be called next."""
        return min(
            self._schedule.next_deadline(),
            self._fetcher.next_deadline(),
            self._announcer.next_deadline(),
            self._hold.next_deadline(),
        )

    def on_time(self) -> None:
        """Do what is due: reads, requests, offers, and judging a held snapshot."""
        self._hold.start()
        held = self._hold.held
        known = max(self.in_force.generation, held.generation if held else 0)
        self._schedule.on_time(known)
        self._judge_held()
        self._fetcher.on_time()
        self._announcer.on_time()

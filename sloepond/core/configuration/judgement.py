"""Checks whether a generation may be put in force, in slices.

A generation is handled as a change of the one in force: it is compared or decoded, hashed, validated as a
whole and compiled.  Nothing is changed meanwhile; the result is a configuration that may be put in force, or
the reason why it may not.

Holds no state.  Relies on `validation` for the rules and on `resources.compiled` for the result.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

import msgspec

from sloepond.core.configuration.delta import ConfigurationDelta, difference_slices
from sloepond.core.configuration.encoding import decode_slices
from sloepond.core.configuration.fetcher import FetchedTransfer
from sloepond.core.configuration.validation import findings_after_slices
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.content import ResourceKey, resource_key, updated_content_slices
from sloepond.resources.model import ConfigurationSnapshot, Resource
from sloepond.resources.sharing import intern_values_slices
from sloepond.resources.slices import Slices, blocks

REPORTED_FINDINGS = 3
"""Maximum number of findings in the report of a rejected generation."""
DIGEST_MISMATCH = "the digest does not match the resources"


class Outcome(enum.Enum):
    """Outcome of the check of a generation."""

    ACCEPTED = enum.auto()
    REJECTED = enum.auto()
    """The content matches its digest, but is not valid."""
    MISMATCH = enum.auto()
    """The content does not match the announced digest."""
    MALFORMED = enum.auto()


class GenerationCheckResult(msgspec.Struct, frozen=True):
    """Result of the check of a generation.

    :ivar reason: why it is not accepted, as one line of text.
    :ivar digest: digest of the actual content; empty if there is none.
    :ivar configuration: the compiled configuration if accepted, else None.
    :ivar delta: delta from the base if accepted, else None.
    """

    outcome: Outcome
    reason: str = ""
    digest: str = ""
    configuration: CompiledConfiguration | None = None
    delta: ConfigurationDelta | None = None


def check_snapshot(
    base: CompiledConfiguration, snapshot: ConfigurationSnapshot
) -> Slices[GenerationCheckResult]:
    """Check a snapshot read from the platform, whose resources may be in any order."""
    delta = yield from _difference(base, snapshot.resources)
    if delta is None:
        reason = f"declared more than once: {', '.join(_duplicates(snapshot.resources))}"
        return GenerationCheckResult(Outcome.REJECTED, reason, snapshot.digest)
    return (yield from _check(base, snapshot.generation, snapshot.digest, delta))


def check_transfer(base: CompiledConfiguration, transfer: FetchedTransfer) -> Slices[GenerationCheckResult]:
    """Check a transfer from another balancer: a delta from the base, or a snapshot."""
    header = transfer.header
    delta = yield from decode_slices(transfer.data)
    if delta is None:
        return GenerationCheckResult(Outcome.MALFORMED, "cannot be decoded")
    if header.base_generation == 0:
        delta = yield from _difference(base, delta.changed)
    elif header.base_generation != base.generation or not _has_unique_keys(delta):
        delta = None
    if delta is None:
        return GenerationCheckResult(Outcome.MISMATCH, "does not apply to the generation in force")
    return (yield from _check(base, header.generation, header.digest, delta))


def _difference(
    base: CompiledConfiguration, resources: Sequence[Resource]
) -> Slices[ConfigurationDelta | None]:
    """Return the delta from the base to resources in any order; None if a resource occurs twice."""
    before = base.content.resources
    delta = yield from difference_slices(before, resources)
    if delta is None:
        ordered = yield from _sorted(resources)
        delta = yield from difference_slices(before, ordered)
    return delta


def _sorted(resources: Sequence[Resource]) -> Slices[list[Resource]]:
    """Sort by kind, then by name within each kind, which is faster than sorting by key."""
    by_kind: dict[str, list[Resource]] = {}
    for block in blocks(resources):
        for resource in block:
            by_kind.setdefault(type(resource).__name__, []).append(resource)
        yield len(block)
    ordered: list[Resource] = []
    for kind in sorted(by_kind):
        by_kind[kind].sort(key=_name_of)
        ordered.extend(by_kind[kind])
        yield len(by_kind[kind])
    return ordered


def _name_of(resource: Resource) -> str:
    return resource.metadata.name


def _duplicates(resources: Sequence[Resource]) -> list[str]:
    """Return the first resources that occur more than once, as `kind/name`."""
    seen: set[ResourceKey] = set()
    duplicates: list[str] = []
    for key in map(resource_key, resources):
        if key in seen:
            duplicates.append(f"{key.kind}/{key.name[:100]!r}")
        seen.add(key)
    return duplicates[:REPORTED_FINDINGS]


def _has_unique_keys(delta: ConfigurationDelta) -> bool:
    keys = {*map(resource_key, delta.changed), *delta.removed}
    return len(keys) == delta.size


def _check(
    base: CompiledConfiguration, generation: int, digest: str, delta: ConfigurationDelta
) -> Slices[GenerationCheckResult]:
    yield from intern_values_slices(delta.changed)
    content = yield from updated_content_slices(base.content, generation, delta.changed, delta.removed)
    if content.digest != digest:
        return GenerationCheckResult(Outcome.MISMATCH, DIGEST_MISMATCH, content.digest)
    findings = yield from findings_after_slices(base, delta, content.resources)
    if findings:
        shown = "; ".join(str(finding) for finding in findings[:REPORTED_FINDINGS])
        return GenerationCheckResult(Outcome.REJECTED, f"{len(findings)} findings: {shown}", digest)
    compiled = yield from base.updated_to_slices(content, delta.changed, delta.removed)
    return GenerationCheckResult(Outcome.ACCEPTED, "", digest, compiled, delta)

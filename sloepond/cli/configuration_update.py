"""Updates of the platform's configuration: all resources, or the state of one back end or zone."""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path

import msgspec

from sloepond.cli.balancer_access import BalancerAccess
from sloepond.cli.changes import ResourceChanges, compare_resources
from sloepond.cli.exit_codes import BAD_INPUT, REFUSED
from sloepond.cli.failures import CommandFailure
from sloepond.cli.platform_access import PlatformAccess
from sloepond.cli.rollout import InForce, wait_in_force
from sloepond.resources.loading import load_resources
from sloepond.resources.model import (
    Backend,
    BackendState,
    ConfigurationSnapshot,
    Resource,
    Zone,
    ZoneState,
)
from sloepond.resources.validation import validate_snapshot


class ConfigurationUpdate(msgspec.Struct, frozen=True):
    """The result of a write.

    :ivar generation: generation that should come into force; the present one if nothing changed.
    :ivar written_at: when the platform had confirmed it, on the monotonic clock, in seconds.
    """

    generation: int
    changes: ResourceChanges
    written_at: float

    def __str__(self) -> str:
        if self.changes.is_empty:
            return f"generation {self.generation} unchanged"
        return f"generation {self.generation} written: {self.changes}"


STATE_ACTIONS = {BackendState.DRAINING: "drained", BackendState.ACTIVE: "undrained"}
"""Participles of the commands that set a state, for error messages."""


def load_declared(files: Sequence[Path]) -> tuple[Resource, ...] | CommandFailure:
    """Return the resources of `files`, or a failure with all findings."""
    if not files:
        return CommandFailure(BAD_INPUT, "no file: name files or directories of resources")
    loaded = load_resources(files)
    if loaded.findings:
        return CommandFailure(REFUSED, _findings_count_text(len(loaded.findings)), loaded.findings)
    return loaded.resources


def replace_configuration(
    platform: PlatformAccess, wanted: Sequence[Resource]
) -> ConfigurationUpdate | CommandFailure:
    """Replace the platform's whole configuration with `wanted`, unless they are equal."""
    present = platform.read()
    if isinstance(present, CommandFailure):
        return present
    return _replace_present(platform, present, wanted)


def _replace_present(
    platform: PlatformAccess, present: ConfigurationSnapshot, wanted: Sequence[Resource]
) -> ConfigurationUpdate | CommandFailure:
    """Replace `present` with `wanted`; refused if `present` is no longer the newest configuration.

    `present` must be the read from which `wanted` was derived.  With a second read, a change
    by another operator between the two reads would be overwritten.
    """
    changes = compare_resources(present.resources, wanted)
    if changes.is_empty:
        return ConfigurationUpdate(present.generation, changes, time.monotonic())
    written = platform.write(wanted, present.generation)
    if isinstance(written, CommandFailure):
        return written
    return ConfigurationUpdate(written.generation, changes, time.monotonic())


def set_backend_state(
    platform: PlatformAccess, name: str, state: BackendState
) -> ConfigurationUpdate | CommandFailure:
    """Set the state of the back end `name` and change nothing else."""
    present = platform.read()
    if isinstance(present, CommandFailure):
        return present
    wanted = [_with_backend_state(resource, name, state) for resource in present.resources]
    if not any(_is_backend(resource, name) for resource in wanted):
        return CommandFailure(REFUSED, f"no back end {name!r} in generation {present.generation}")
    findings = validate_snapshot(wanted)
    if findings:
        return CommandFailure(
            REFUSED,
            f"{name} cannot be {STATE_ACTIONS[state]}: {_findings_count_text(len(findings))}",
            findings,
        )
    return _replace_present(platform, present, wanted)


def set_zone_state(
    platform: PlatformAccess, name: str, state: ZoneState
) -> ConfigurationUpdate | CommandFailure:
    """Set the state of the zone `name` and change nothing else.

    A zone can be evacuated even if a service then has no back end left; its new flows are refused.
    """
    present = platform.read()
    if isinstance(present, CommandFailure):
        return present
    wanted = [_with_zone_state(resource, name, state) for resource in present.resources]
    if not any(isinstance(resource, Zone) and resource.metadata.name == name for resource in wanted):
        return CommandFailure(REFUSED, f"no zone {name!r} in generation {present.generation}")
    return _replace_present(platform, present, wanted)


def wait_for_update(
    balancers: BalancerAccess, update: ConfigurationUpdate, timeout_s: float
) -> InForce | CommandFailure:
    """Wait until the update is in force on every live balancer."""
    return wait_in_force(balancers, update.generation, update.written_at, timeout_s)


def _is_backend(resource: Resource, name: str) -> bool:
    return isinstance(resource, Backend) and resource.metadata.name == name


def _with_backend_state(resource: Resource, name: str, state: BackendState) -> Resource:
    if not isinstance(resource, Backend) or resource.metadata.name != name:
        return resource
    return msgspec.structs.replace(resource, spec=msgspec.structs.replace(resource.spec, state=state))


def _with_zone_state(resource: Resource, name: str, state: ZoneState) -> Resource:
    if not isinstance(resource, Zone) or resource.metadata.name != name:
        return resource
    return msgspec.structs.replace(resource, spec=msgspec.structs.replace(resource.spec, state=state))


def _findings_count_text(findings: int) -> str:
    return f"{findings} finding" if findings == 1 else f"{findings} findings"

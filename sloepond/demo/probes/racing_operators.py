"""Two operators change the configuration at the same time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path

import httpx
import msgspec
import trio

from sloepond.cli.exit_codes import OK, REFUSED
from sloepond.demo import operators
from sloepond.demo.addresses import ANY_PORT, CLIENT_HOST
from sloepond.demo.declaration import ResourceFile
from sloepond.demo.fleet import Fleet
from sloepond.demo.fleet_access import STEP_TIMEOUT_S
from sloepond.demo.operators import CommandResult
from sloepond.demo.probes.held_reads import HeldReads
from sloepond.demo.probes.load import Load
from sloepond.demo.probes.outcome import Check, ProbeOutcome, expect_equal
from sloepond.demo.processes import DemoProcess
from sloepond.resources.model import Backend, BackendState, ConfigurationSnapshot, Resource, Service
from sloepond.runtime.clock import monotonic_seconds
from sloepond.standins.checking import Departure

_FLOWS_BETWEEN_STEPS = 10
"""Flows that start between two steps, so that every step meets traffic."""
_CONFLICT = "the configuration has changed since generation"

StartCommand = Callable[[str], Awaitable[DemoProcess]]
"""Starts a command that takes the platform to be at the URL."""


class Race(msgspec.Struct, frozen=True):
    """How two commands ended of which `late` had read before `early` wrote."""

    late: CommandResult
    early: CommandResult
    before: ConfigurationSnapshot
    after: ConfigurationSnapshot


async def racing_operators(fleet: Fleet, load: Load) -> ProbeOutcome:
    """Race apply with apply, drain with apply and drain with drain; the late one loses."""
    checks: list[Check] = []
    files = [_write_variant(fleet, number) for number in range(3)]
    await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)

    async def apply(number: int, url: str) -> DemoProcess:
        return await operators.start_apply(fleet, [files[number]], url)

    async def drain(backend: str, url: str) -> DemoProcess:
        return await operators.start_drain(fleet, backend, url)

    races: list[tuple[str, StartCommand, StartCommand]] = [
        ("apply, apply", lambda url: apply(0, url), lambda url: apply(1, url)),
        ("drain, apply", lambda url: drain("playback-1", url), lambda url: apply(2, url)),
        ("drain, drain", lambda url: drain("playback-2", url), lambda url: drain("playback-3", url)),
    ]
    for name, late, early in races:
        checks += check_race(name, await _race(fleet, late, early))
    drained_at = monotonic_seconds()
    checks += await _race_freely(fleet)
    await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
    checks += await _check_agreement(fleet)
    return ProbeOutcome(tuple(checks), (Departure("playback-3", drained_at),))


def _write_variant(fleet: Fleet, number: int) -> Path:
    """Write the declared resources with limits of their own."""
    changed: list[Resource] = []
    for resource in fleet.declaration.configuration.snapshot.resources:
        if isinstance(resource, Service):
            limits = msgspec.structs.replace(resource.spec.limits, requests_in_flight=10_000 + number)
            spec = msgspec.structs.replace(resource.spec, limits=limits)
            changed.append(msgspec.structs.replace(resource, spec=spec))
        else:
            changed.append(resource)
    file = fleet.directory / f"variant-{number}.json"
    file.write_bytes(msgspec.json.encode(ResourceFile(tuple(changed))))
    return file


async def _race(fleet: Fleet, late: StartCommand, early: StartCommand) -> Race:
    """Let `late` read, then `early` read and write, then `late` write.

    Both commands are started before: a command gives a read up after three seconds, and
    starting one takes as long where the machine is busy.
    """
    before = await fleet.access.configuration(fleet.platform_url)
    async with httpx.AsyncClient(trust_env=False) as http, trio.open_nursery() as nursery:
        held_early = HeldReads(http, fleet.platform_url)
        early_url = await nursery.start(held_early.run, fleet.network.address(CLIENT_HOST, ANY_PORT))
        held_late = HeldReads(http, fleet.platform_url)
        late_url = await nursery.start(held_late.run, fleet.network.address(CLIENT_HOST, ANY_PORT))
        early_process = await early(early_url)
        late_process = await late(late_url)
        with trio.fail_after(STEP_TIMEOUT_S):
            await held_late.wait_read()
            await held_early.wait_read()
        held_early.release()
        early_result = await operators.finish(early_process)
        held_late.release()
        late_result = await operators.finish(late_process)
        nursery.cancel_scope.cancel()
    after = await fleet.access.configuration(fleet.platform_url)
    return Race(late_result, early_result, before, after)


def check_race(name: str, race: Race) -> list[Check]:
    """Check that just one of two conflicting writes won and that the loser was told."""
    is_clear = len(race.late.errors) == 1 and _CONFLICT in race.late.errors[0]
    return [
        expect_equal(f"{name}: exit code of the first to write", race.early.exit_code, OK),
        expect_equal(f"{name}: exit code of the other", race.late.exit_code, REFUSED),
        Check(f"{name}: the other is told why in one line", "; ".join(race.late.errors), is_clear),
        expect_equal(f"{name}: generations written", race.after.generation - race.before.generation, 1),
    ]


async def _race_freely(fleet: Fleet) -> list[Check]:
    """Run two drains at once; each that succeeds must have its change in the end."""
    names = ("archive-1", "playback-4")
    processes = [await operators.start_drain(fleet, name, fleet.platform_url) for name in names]
    results = [await operators.finish(process) for process in processes]
    final = await fleet.access.configuration(fleet.platform_url)
    draining = {
        resource.metadata.name
        for resource in final.resources
        if isinstance(resource, Backend) and resource.spec.state is BackendState.DRAINING
    }
    lost = [
        name
        for name, result in zip(names, results, strict=True)
        if result.exit_code == OK and name not in draining
    ]
    codes = sorted(result.exit_code for result in results)
    return [
        expect_equal("drains at once: changes that were lost", lost, []),
        Check("drains at once: exit codes", str(codes), codes in ([OK, OK], [OK, REFUSED])),
    ]


async def _check_agreement(fleet: Fleet) -> list[Check]:
    final = await fleet.access.configuration(fleet.platform_url)
    await fleet.wait_in_force(final.generation)
    statuses = [await fleet.access.status(item.planned) for item in fleet.balancers]
    found = {(status.generation, status.digest) for status in statuses if status}
    return [expect_equal("generations and digests in force", found, {(final.generation, final.digest)})]

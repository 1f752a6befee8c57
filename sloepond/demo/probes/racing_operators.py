"""Scenario: two operators change the configuration at the same time."""

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
from sloepond.demo.probes.held_reads import DelayedReadProxy
from sloepond.demo.probes.load import Load
from sloepond.demo.probes.outcome import Check, ProbeOutcome, expect_equal
from sloepond.demo.processes import DemoProcess
from sloepond.resources.model import Backend, BackendState, ConfigurationSnapshot, Resource, Service
from sloepond.runtime.clock import monotonic_seconds
from sloepond.standins.checking import Departure

_FLOWS_BETWEEN_STEPS = 10
"""Flows that start between two steps, so that every step takes place under traffic."""
_CONFLICT = "the configuration has changed since generation"

StartCommand = Callable[[str], Awaitable[DemoProcess]]
"""Starts a command that uses the platform at the given URL."""


class Race(msgspec.Struct, frozen=True):
    """Results of two commands, of which `late` had read the configuration before `early` wrote it."""

    late: CommandResult
    early: CommandResult
    before: ConfigurationSnapshot
    after: ConfigurationSnapshot


async def racing_operators(fleet: Fleet, load: Load) -> ProbeOutcome:
    """Race apply with apply, drain with apply and drain with drain; the later write must be refused."""
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
    checks += await _run_concurrent_drains(fleet)
    await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
    checks += await _check_agreement(fleet)
    return ProbeOutcome(tuple(checks), (Departure("playback-3", drained_at),))


def _write_variant(fleet: Fleet, number: int) -> Path:
    """Write the declared resources with service limits that are unique to `number`."""
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
    """Run two commands that both read before either writes; `early` writes first.

    Both processes are started before any read is answered: a command times out a read after
    three seconds, and on a busy machine starting a command takes as long.
    """
    before = await fleet.access.configuration(fleet.platform_url)
    async with httpx.AsyncClient(trust_env=False) as http, trio.open_nursery() as nursery:
        early_proxy = DelayedReadProxy(http, fleet.platform_url)
        early_url = await nursery.start(early_proxy.run, fleet.network.address(CLIENT_HOST, ANY_PORT))
        late_proxy = DelayedReadProxy(http, fleet.platform_url)
        late_url = await nursery.start(late_proxy.run, fleet.network.address(CLIENT_HOST, ANY_PORT))
        early_process = await early(early_url)
        late_process = await late(late_url)
        with trio.fail_after(STEP_TIMEOUT_S):
            await late_proxy.wait_read()
            await early_proxy.wait_read()
        early_proxy.release()
        early_result = await operators.finish(early_process)
        late_proxy.release()
        late_result = await operators.finish(late_process)
        nursery.cancel_scope.cancel()
    after = await fleet.access.configuration(fleet.platform_url)
    return Race(late_result, early_result, before, after)


def check_race(name: str, race: Race) -> list[Check]:
    """Check that exactly one of two conflicting writes succeeded and that the other reports the conflict."""
    is_clear = len(race.late.errors) == 1 and _CONFLICT in race.late.errors[0]
    return [
        expect_equal(f"{name}: exit code of the first writer", race.early.exit_code, OK),
        expect_equal(f"{name}: exit code of the second writer", race.late.exit_code, REFUSED),
        Check(
            f"{name}: the second writer reports the conflict in one line",
            "; ".join(race.late.errors),
            is_clear,
        ),
        expect_equal(f"{name}: generations written", race.after.generation - race.before.generation, 1),
    ]


async def _run_concurrent_drains(fleet: Fleet) -> list[Check]:
    """Run two drains concurrently; the change of each that succeeds must be in the final configuration."""
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
        expect_equal("concurrent drains: lost changes", lost, []),
        Check("concurrent drains: exit codes", str(codes), codes in ([OK, OK], [OK, REFUSED])),
    ]


async def _check_agreement(fleet: Fleet) -> list[Check]:
    final = await fleet.access.configuration(fleet.platform_url)
    await fleet.wait_in_force(final.generation)
    statuses = [await fleet.access.status(item.planned) for item in fleet.balancers]
    found = {(status.generation, status.digest) for status in statuses if status}
    return [expect_equal("generations and digests in force", found, {(final.generation, final.digest)})]

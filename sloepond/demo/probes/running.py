"""Runs one failure scenario from start to end: its processes, its load and its checks.

Owns: the fleet and the load of one run.  The table `STEPS` maps each scenario to its steps.
"""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable
from pathlib import Path

import httpx
import msgspec
import trio

from sloepond.demo.addresses import LoopbackNetwork
from sloepond.demo.fleet import Fleet
from sloepond.demo.probes.crash import crash
from sloepond.demo.probes.load import Load
from sloepond.demo.probes.malformed_input import malformed_input
from sloepond.demo.probes.outcome import (
    ProbeOutcome,
    ProbeResult,
    check_evidence,
    check_no_unknown_outcomes,
    check_processes,
    describe_evidence,
)
from sloepond.demo.probes.pause import pause
from sloepond.demo.probes.racing_operators import racing_operators
from sloepond.demo.probes.rolling import rolling
from sloepond.demo.probes.stale_platform import stale_platform
from sloepond.demo.processes import ProcessGroup
from sloepond.standins.checking import Evidence
from sloepond.standins.fabric_model import FabricSettings
from sloepond.standins.workload import WorkloadSettings

Steps = Callable[[Fleet, Load], Awaitable[ProbeOutcome]]


SERVICE_S = 0.25
"""Mean time a request runs, long enough that requests are in progress at every failure."""


class ProbeName(enum.StrEnum):
    """Names of the failure scenarios."""

    CRASH = "crash"
    PAUSE = "pause"
    STALE_PLATFORM = "stale-platform"
    RACING_OPERATORS = "racing-operators"
    ROLLING = "rolling"
    MALFORMED_INPUT = "malformed-input"


STEPS: dict[ProbeName, Steps] = {
    ProbeName.CRASH: crash,
    ProbeName.PAUSE: pause,
    ProbeName.STALE_PLATFORM: stale_platform,
    ProbeName.RACING_OPERATORS: racing_operators,
    ProbeName.ROLLING: rolling,
    ProbeName.MALFORMED_INPUT: malformed_input,
}

PLANNED_SCENARIOS = frozenset({ProbeName.STALE_PLATFORM, ProbeName.RACING_OPERATORS, ProbeName.ROLLING})
"""Scenarios in which balancers only stop gracefully, so that no request in progress may be lost."""


class ProbeSettings(msgspec.Struct, frozen=True):
    """A scenario and its load.

    :ivar example: directory of the resources to start from.
    :ivar wave: workload of each wave of callers.
    :ivar faults: faults of the fabric.
    :ivar seed: seed of the workload and of the fabric.
    """

    scenario: ProbeName
    example: Path
    wave: WorkloadSettings
    faults: FabricSettings = FabricSettings()
    seed: int = 1


class Probe:
    """One run of a scenario with its own processes."""

    def __init__(
        self,
        settings: ProbeSettings,
        network: LoopbackNetwork,
        directory: Path,
        group: ProcessGroup,
        http: httpx.AsyncClient,
    ) -> None:
        self._settings = settings
        self._fleet = Fleet(
            settings.example, settings.faults, settings.seed, network, directory, group, http, SERVICE_S
        )

    async def run(self) -> ProbeResult:
        """Start all processes, run the steps under load and check the results."""
        await self._fleet.start()
        load = Load(self._fleet, self._settings.wave, self._settings.seed)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            outcome = await STEPS[self._settings.scenario](self._fleet, load)
            load.finish()
        configuration = self._fleet.declaration.configuration
        executions = await self._fleet.executions()
        evidence = Evidence(configuration, tuple(load.flows), executions, outcome.departures)
        checks = [*check_evidence(evidence), *outcome.checks, *await check_processes(self._fleet)]
        if self._settings.scenario in PLANNED_SCENARIOS:
            checks.append(check_no_unknown_outcomes(evidence))
        return ProbeResult(self._settings.scenario, tuple(checks), describe_evidence(evidence))

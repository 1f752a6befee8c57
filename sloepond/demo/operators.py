"""Runs operators' commands, each in its own process, against the platform of a demo.

Stateless.  Relies on: the fleet's process group, which owns the processes.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec

from sloepond.demo.fleet import Fleet
from sloepond.demo.fleet_access import wait_until
from sloepond.demo.processes import DemoProcess, ProcessFailedError
from sloepond.runtime.clock import monotonic_seconds
from sloepond.standins.checking import Departure

COMMAND_TIMEOUT_S = 60.0
"""Timeout of a command, long enough for a busy machine."""


class CommandResult(msgspec.Struct, frozen=True):
    """Result of a command; `errors` are the lines of its standard error."""

    name: str
    exit_code: int
    errors: tuple[str, ...]


async def finish(process: DemoProcess) -> CommandResult:
    """Wait for the end of a command."""

    async def has_ended() -> bool:
        return not process.is_running

    await wait_until(has_ended, COMMAND_TIMEOUT_S, f"the end of {process.name}")
    return CommandResult(process.name, await process.wait(), tuple(process.log_lines()))


async def start_drain(fleet: Fleet, backend: str, platform_url: str) -> DemoProcess:
    """Start `sloepond drain`."""
    return await fleet.run_command(f"drain-{backend}", ["drain", backend, "--platform", platform_url])


async def start_apply(fleet: Fleet, files: Sequence[Path], platform_url: str) -> DemoProcess:
    """Start `sloepond apply`."""
    names = [str(file) for file in files]
    name = f"apply-{Path(files[0]).stem}"
    return await fleet.run_command(name, ["apply", *names, "--platform", platform_url])


async def drain(fleet: Fleet, backend: str) -> Departure:
    """Drain a back end; it may receive new flows for a few seconds after this returns.

    :raises ProcessFailedError: if the command fails.
    """
    result = await finish(await start_drain(fleet, backend, fleet.platform_url))
    if result.exit_code != 0:
        raise ProcessFailedError(f"drain exited with {result.exit_code}: {result.errors}")
    return Departure(backend, monotonic_seconds())

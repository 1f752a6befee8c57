"""Runs one demo or scenario from start to end.

Owns: its network, directory and processes, which are released however the run ends.  Expected
errors are printed with the last log lines of each process.
"""

from __future__ import annotations

import functools
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Protocol, TypeVar

import httpx
import msgspec
import trio
from rich.console import Console

from sloepond.demo.addresses import LoopbackNetwork, NetworkUnavailableError
from sloepond.demo.declaration import InvalidExampleError
from sloepond.demo.probes.outcome import ProbeResult
from sloepond.demo.probes.running import Probe, ProbeSettings
from sloepond.demo.processes import ProcessFailedError, ProcessGroup
from sloepond.demo.processor_wait import extend_deadline
from sloepond.demo.scenario import DemoResult, DemoSettings, Scenario

DEMO_TIMEOUT_S = 170.0
"""Timeout of a whole run, not counting waits for a processor."""
HTTP_TIMEOUT_S = 3.0
"""Timeout of an HTTP request; a paused process counts as not responding after it."""

_Result = TypeVar("_Result")
_ResultOut = TypeVar("_ResultOut", covariant=True)

_EXPECTED_ERRORS = (
    InvalidExampleError,
    NetworkUnavailableError,
    ProcessFailedError,
    TimeoutError,
    trio.TooSlowError,
    httpx.HTTPError,
    msgspec.MsgspecError,
    OSError,
)


Prepare = Callable[[LoopbackNetwork, Path, ProcessGroup, httpx.AsyncClient], "Runnable[_Result]"]
"""Creates the demo or scenario to run from a network, a directory, a process group and an HTTP client."""


class Runnable(Protocol[_ResultOut]):
    """A prepared demo or scenario."""

    async def run(self) -> _ResultOut:
        """Run it and return the result."""


async def run_demo(settings: DemoSettings, console: Console) -> DemoResult | None:
    """Run a demo; its processes have ended on return.

    :returns: None if the demo did not complete; the reasons are printed to `console`.
    """
    return await _run_in_directory(functools.partial(Scenario, settings), console)


async def run_probe(settings: ProbeSettings, console: Console) -> ProbeResult | None:
    """Run a failure scenario; its processes have ended on return.

    :returns: None if it did not complete; the reasons are printed to `console`.
    """
    return await _run_in_directory(functools.partial(Probe, settings), console)


async def _run_in_directory(prepare: Prepare[_Result], console: Console) -> _Result | None:
    result: _Result | None = None
    with tempfile.TemporaryDirectory(prefix="sloepond-demo-") as directory:
        group = ProcessGroup(Path(directory))
        try:
            async with trio.open_nursery() as nursery:
                with trio.fail_after(DEMO_TIMEOUT_S) as scope:
                    nursery.start_soon(extend_deadline, scope, DEMO_TIMEOUT_S)
                    result = await _run_in_network(prepare, Path(directory), group)
                nursery.cancel_scope.cancel()
        except* _EXPECTED_ERRORS as failures:
            _print_failure(failures, group, console)
    return result


async def _run_in_network(prepare: Prepare[_Result], directory: Path, group: ProcessGroup) -> _Result:
    network = LoopbackNetwork()
    try:
        async with httpx.AsyncClient(timeout=HTTP_TIMEOUT_S, trust_env=False) as http:
            return await prepare(network, directory, group, http).run()
    finally:
        await group.end_all()
        network.close()


def _print_failure(failures: BaseExceptionGroup[Exception], group: ProcessGroup, console: Console) -> None:
    for failure in _leaves(failures):
        console.print(f"the demo did not complete: {type(failure).__name__}: {failure}", soft_wrap=True)
    for process in group.processes:
        tail = process.log_tail()
        if tail:
            console.print(f"--- {process.name}\n{tail}", soft_wrap=True, markup=False)


def _leaves(group: BaseExceptionGroup[Exception]) -> list[BaseException]:
    leaves: list[BaseException] = []
    for failure in group.exceptions:
        leaves += _leaves(failure) if isinstance(failure, BaseExceptionGroup) else [failure]
    return leaves

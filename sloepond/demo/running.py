"""One demo from start to end: its network, its directory and its processes."""

from __future__ import annotations

import tempfile
from pathlib import Path

import httpx
import msgspec
import trio
from rich.console import Console

from sloepond.demo.addresses import LoopbackNetwork, NetworkUnavailableError
from sloepond.demo.declaration import InvalidExampleError
from sloepond.demo.processes import ProcessFailedError, ProcessGroup
from sloepond.demo.scenario import DemoResult, DemoSettings, Scenario

DEMO_TIMEOUT_S = 170.0
HTTP_TIMEOUT_S = 3.0

_FAILURES = (
    InvalidExampleError,
    NetworkUnavailableError,
    ProcessFailedError,
    TimeoutError,
    trio.TooSlowError,
    httpx.HTTPError,
    msgspec.MsgspecError,
    OSError,
)


async def run_demo(settings: DemoSettings, console: Console) -> DemoResult | None:
    """Run a demo; its processes have ended on return.

    :returns: None where the demo did not run to its end; `console` then got the reasons.
    """
    result: DemoResult | None = None
    with tempfile.TemporaryDirectory(prefix="sloepond-demo-") as directory:
        group = ProcessGroup(Path(directory))
        try:
            with trio.fail_after(DEMO_TIMEOUT_S):
                result = await _run_in_network(settings, Path(directory), group)
        except* _FAILURES as failures:
            _print_failure(failures, group, console)
    return result


async def _run_in_network(settings: DemoSettings, directory: Path, group: ProcessGroup) -> DemoResult:
    network = LoopbackNetwork()
    try:
        async with httpx.AsyncClient(timeout=HTTP_TIMEOUT_S, trust_env=False) as http:
            return await Scenario(settings, network, directory, group, http).run()
    finally:
        await group.end_all()
        network.close()


def _print_failure(failures: BaseExceptionGroup[Exception], group: ProcessGroup, console: Console) -> None:
    for failure in _leaves(failures):
        console.print(f"the demo did not run: {type(failure).__name__}: {failure}", soft_wrap=True)
    for process in group.processes:
        tail = process.log_tail()
        if tail:
            console.print(f"--- {process.name}\n{tail}", soft_wrap=True, markup=False)


def _leaves(group: BaseExceptionGroup[Exception]) -> list[BaseException]:
    leaves: list[BaseException] = []
    for failure in group.exceptions:
        leaves += _leaves(failure) if isinstance(failure, BaseExceptionGroup) else [failure]
    return leaves

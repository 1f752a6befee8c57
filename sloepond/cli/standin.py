"""Commands that run the stand-ins: `sloepond standin platform|fabric|backend|client`.

Each prints one JSON line when it is ready and runs until interrupted.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

import defopt
import msgspec
import trio

from sloepond.resources.loading import load_resources
from sloepond.resources.model import Resource
from sloepond.standins.backend import BackendHost
from sloepond.standins.backend_settings import BackendSettings
from sloepond.standins.caller_plan import CallerSettings
from sloepond.standins.client import Client
from sloepond.standins.fabric import Fabric, FabricStarted
from sloepond.standins.fabric_model import Balancer, FabricModel, FabricSettings
from sloepond.standins.hosting import called_services, hosted_backends
from sloepond.standins.http import serve_http
from sloepond.standins.platform import PlatformState, run_platform
from sloepond.standins.started import StandinStarted, print_started
from sloepond.standins.workload import WorkloadSettings, plan_workload

ANY_LOOPBACK_PORT = "127.0.0.1:0"
EXIT_BAD_INPUT = 2

_BALANCER_SEPARATOR = "="


def platform(*, address: str = ANY_LOOPBACK_PORT, resources: Sequence[Path] = ()) -> None:
    """Run the platform's configuration service and list of machines, in memory.

    :param address: `ip:port` to serve HTTP on; port 0 selects a free port.
    :param resources: files or directories whose resources are the initial generation 1.
    """
    state = PlatformState()
    if resources:
        state.write(_load(resources), None)
    _run_until_interrupted(partial(_run_platform, address, state))


async def _run_platform(address: str, state: PlatformState) -> None:
    async with trio.open_nursery() as nursery:
        url = await nursery.start(run_platform, address, state)
        print_started(StandinStarted(url))


def fabric(
    *,
    address: str = ANY_LOOPBACK_PORT,
    control: str = ANY_LOOPBACK_PORT,
    balancers: Sequence[str] = (),
    platform_url: str = "",
    poll_s: float = 2.0,
    loss: float = 0.0,
    duplication: float = 0.0,
    reordering: float = 0.0,
    delay_s: float = 0.0,
    seed: int = 1,
) -> None:
    """Distribute callers' datagrams over balancers.

    :param address: UDP `ip:port` that callers send to; port 0 selects a free port.
    :param control: `ip:port` of the HTTP interface that changes the balancers.
    :param balancers: balancers as `name=ip:port`, with the address for callers' packets.
    :param platform_url: platform whose list of machines is polled; empty to use all balancers.
    :param poll_s: seconds between polls.
    :param loss: share of datagrams that are dropped.
    :param duplication: share of datagrams that are delivered twice.
    :param reordering: share of datagrams that are delayed by up to 50 ms.
    :param delay_s: delay of each datagram in seconds.
    :param seed: seed of all random choices.
    """
    settings = FabricSettings(loss=loss, duplication=duplication, reordering=reordering, delay_s=delay_s)
    model = FabricModel(settings, random.Random(seed))
    model.set_balancers([_parse_balancer(text) for text in balancers])
    _run_until_interrupted(partial(_run_fabric, Fabric(model, platform_url, poll_s), address, control))


async def _run_fabric(running: Fabric, address: str, control: str) -> None:
    async with trio.open_nursery() as nursery:
        started: FabricStarted = await nursery.start(running.run, address, control)
        print_started(StandinStarted(started.control_url, started.address))


def _parse_balancer(text: str) -> Balancer:
    name, separator, address = text.partition(_BALANCER_SEPARATOR)
    if not separator:
        _exit_with_errors([f"{text}: not of the form name=ip:port"])
    return Balancer(name, address)


def backend(
    *,
    resources: Sequence[Path],
    names: Sequence[str] = (),
    control: str = ANY_LOOPBACK_PORT,
    queue: int = 16,
    service_s: float = 0.02,
    cold_s: float = 0.0,
    load_lag_s: float = 0.0,
    load_factor: float = 1.0,
    ordered_flows: bool = False,
    seed: int = 1,
) -> None:
    """Run declared back ends on their own addresses.

    :param resources: files or directories that declare them.
    :param names: back ends to run; all if none is given.
    :param control: `ip:port` of the HTTP interface (executions, draining).
    :param queue: requests that can wait at one back end; more are shed.
    :param service_s: mean execution time of a request in seconds.
    :param cold_s: seconds after the first packet during which requests run more slowly.
    :param load_lag_s: maximum age of a reported load in seconds.
    :param load_factor: factor applied to the reported load; 0 reports an idle back end.
    :param ordered_flows: treat flows as byte streams, in which a duplicate of a request is
        answered again without another execution; for balancers that forward by token.
    :param seed: seed of all random choices.
    """
    settings = BackendSettings(
        queue=queue,
        service_s=service_s,
        cold_s=cold_s,
        load_lag_s=load_lag_s,
        load_factor=load_factor,
        ordered_flows=ordered_flows,
    )
    backends = hosted_backends(_load(resources), names, settings, seed)
    if not backends:
        _exit_with_errors(["no such back end is declared"])
    _run_until_interrupted(partial(_run_backends, BackendHost(backends), control))


async def _run_backends(host: BackendHost, control: str) -> None:
    async with trio.open_nursery() as nursery:
        url = await nursery.start(host.run, control)
        print_started(StandinStarted(url))


def client(
    *,
    fabric_address: str,
    resources: Sequence[Path],
    services: Sequence[str] = (),
    address: str = ANY_LOOPBACK_PORT,
    control: str = ANY_LOOPBACK_PORT,
    flows: int = 300,
    opening_s: float = 10.0,
    lifetime_s: float = 15.0,
    pause_s: float = 1.5,
    patience_s: float = 8.0,
    seed: int = 1,
) -> None:
    """Open flows through the fabric, check every answer and print a JSON report.

    :param fabric_address: UDP `ip:port` of the fabric.
    :param resources: files or directories that declare the services.
    :param services: services to call; all if none is given.
    :param address: UDP `ip:port` to send from.
    :param control: `ip:port` of the HTTP interface (progress and report).
    :param flows: total number of flows to open.
    :param opening_s: seconds over which they are opened.
    :param lifetime_s: seconds during which a flow sends requests.
    :param pause_s: mean seconds between the requests of a flow.
    :param patience_s: seconds after which the client gives up a request.
    :param seed: seed of all random choices.
    """
    called = called_services(_load(resources), services)
    if not called:
        _exit_with_errors(["no such service is declared"])
    random_source = random.Random(seed)
    workload = WorkloadSettings(flows=flows, opening_s=opening_s, lifetime_s=lifetime_s, pause_s=pause_s)
    planned = plan_workload(called, workload, random_source)
    # Two clients may run with the same seed, but incarnations of flows must be unique.
    caller_settings = CallerSettings(patience_s=patience_s, feed_patience_s=patience_s)
    running = Client(planned, caller_settings, random.SystemRandom())
    _run_until_interrupted(partial(_run_client, running, address, fabric_address, control))


async def _run_client(running: Client, address: str, fabric_address: str, control: str) -> None:
    async with trio.open_nursery() as nursery:
        url = await nursery.start(serve_http, running.application, control)
        print_started(StandinStarted(url))
        await running.run(address, fabric_address)
        print(msgspec.json.encode(running.report()).decode(), flush=True)
        nursery.cancel_scope.cancel()


def _load(paths: Sequence[Path]) -> tuple[Resource, ...]:
    loaded = load_resources(paths)
    if loaded.findings:
        _exit_with_errors([str(finding) for finding in loaded.findings])
    return loaded.resources


def _exit_with_errors(errors: Sequence[str]) -> None:
    for error in errors:
        print(error, file=sys.stderr)
    raise SystemExit(EXIT_BAD_INPUT)


def _run_until_interrupted(run: Callable[[], object]) -> None:
    try:
        trio.run(run)  # type: ignore[arg-type]
    except* KeyboardInterrupt:
        pass  # A stand-in is stopped by an interrupt.


STANDIN_COMMANDS: list[Callable[..., None]] = [platform, fabric, backend, client]
"""Subcommands of `sloepond standin`."""


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one stand-in; for tools that start stand-ins as processes."""
    defopt.run(STANDIN_COMMANDS, argv=arguments)


if __name__ == "__main__":
    main()

"""A small deployment: a store, two services, clients in three zones, and seven balancers."""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

from ends import Clients, Router, Target
from fleet import Fleet, free_port
from store import LONG_AGO, Store

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
}
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CONTACT_S, DRAIN_S, CONFIG_APPLY_S, ROLLBACK_SLACK_S = 4.0, 3.0, 3.0, 0.25


def route(name: str, host: str, port: int, service: str, kind: str = "safe") -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": host,
        "path_prefix": f"/{port}/",
        "kind": kind,
        "timeout_ms": 2000,
        "slo_ms": 120,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
    }


class Deployment:
    """The deployment of one case.

    `has_trouble` is False with TROUBLE=0.
    """

    def __init__(self, record: TextIO, lag_s: float = 0.0, idle_timeout_ms: int = 15_000) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = record
        self.began = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        net = 16 + os.getpid() % 200
        self.store = Store(lag_s)
        self.net = net
        host = f"127.{net}.200.1"
        self.store_address = (host, free_port([host]))
        self.fleet = Fleet(net, f"{host}:{self.store_address[1]}", self.folder)
        self.router = Router(self.fleet.daemons())
        self.hosts = [f"127.{net}.18.{number}" for number in range(1, 12)]
        self.targets: list[Target] = []
        self.clients: list[Clients] = []
        self.version = 7
        self.limits = {**LIMITS, "idle_timeout_ms": idle_timeout_ms}
        self.routes: list[dict[str, Any]] = []

    def note(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start."""
        print(f"{time.monotonic() - self.began:9.4f} {text}", file=self.record, flush=True)

    def at(self, moment: float) -> str:
        """Return a moment as seconds since the start."""
        return f"{moment - self.began:.4f}"

    def put_configuration(self, routes: list[dict[str, Any]], at: float | None = None) -> float:
        """Write a version of the configuration; return the time of the acknowledgement."""
        self.version += 3
        self.routes = routes
        services = [
            {"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False}
            for name in ("playback", "archive")
        ]
        document = {"version": self.version, "routes": routes, "services": services, "limits": self.limits}
        acknowledged = self.store.put("op/config", document, at)
        self.note(f"operator: version {self.version}, routes {[each['name'] for each in routes]}: taken")
        return acknowledged

    async def start(self, playback: int = 7, archive: int = 3) -> None:
        """Start the stand-ins and the balancers, and wait until all of these are ready."""
        zones = ("osu-hall", "tema-hall", "legon-hall")
        for number in range(playback + archive):
            host = f"127.{self.net}.128.{number + 1}"
            service = "playback" if number < playback else "archive"
            identity = f"i-7f3a{number + 1:04x}"
            target = Target(identity, service, host, free_port([host]), zones[number % 3], self.fleet.edge)
            await target.start()
            self.targets.append(target)
            self.store.put(f"servers/{identity}", target.entry(), LONG_AGO)
        idle = [route(f"idle-{n}", self.hosts[n], 8080, "playback") for n in range(3, 9)]
        self.put_configuration(
            [
                route("caption-push", self.hosts[0], 443, "playback"),
                route("segment-fetch", self.hosts[1], 8443, "archive", "download"),
                route("bookmark-sync", self.hosts[2], 443, "playback", "unsafe"),
                *idle,
            ],
            LONG_AGO,
        )
        await self.store.start(*self.store_address)
        for number, zone in enumerate(zones):
            clients = Clients(f"127.{self.net}.9.{number + 1}", self.fleet.edge, zone, self.router)
            await clients.start()
            self.clients.append(clients)
        self.fleet.start()
        self.router.start()
        await asyncio.sleep(12.0)  # Traffic starts 12 s after the machines do.
        missing = [each.name for each in self.fleet.balancers if not self.router.is_in(each.name)]
        if missing:
            raise RuntimeError(f"not ready: {missing}")

    def service(self, name: str) -> list[Target]:
        """Return the targets of a service."""
        return [target for target in self.targets if target.service == name]

    def readers(self) -> list[str]:
        """Return the balancers whose log says that they read the store for the others."""
        return [each.name for each in self.fleet.balancers if each.is_reader()]

    def attempt(self, flow: tuple[str, int, str, int]) -> Any:
        """Return the client attempt of a flow."""
        every = (attempt for clients in self.clients for attempt in clients.attempts)
        return next(attempt for attempt in every if attempt.flow == flow)

    def write_all(self) -> None:
        """Write every attempt, opening and run to the record."""
        for clients in self.clients:
            for each in clients.attempts:
                sent = " ".join(f"{self.at(when)}->{name}" for when, name in each.sent)
                self.note(
                    f"client {each.identity} to {each.flow[2]}:{each.flow[3]} SYN {sent}: {each.outcome}"
                )
        for target in self.targets:
            for when, flow, copy in target.openings:
                self.note(
                    f"target {target.identity} ({target.service}) SYN {flow} copy {copy} {self.at(when)}"
                )
            for when, flow, identity in target.runs:
                self.note(
                    f"target {target.identity} ({target.service}) ran {identity} {flow} {self.at(when)}"
                )
        for when, target_path, lost, rev in self.store.answers:
            self.note(f"store {self.at(when)} {target_path} at={rev}{' LOST' if lost else ''}")

    def end(self) -> None:
        """End all processes; keep the last log lines of each in the record."""
        self.fleet.end()
        for target in self.targets:
            target.end()
        for balancer in self.fleet.balancers:
            for line in balancer.log.read_text().splitlines():
                if '"flow_placed"' not in line and '"request_seen"' not in line:
                    print(f"log {balancer.name} {line}", file=self.record)
        shutil.rmtree(self.folder, ignore_errors=True)


async def send_steadily(deployment: Deployment, route_index: int, port: int, until: float) -> None:
    """Open a flow with one request in each zone every 50 ms."""
    while time.monotonic() < until:
        for clients in deployment.clients:
            clients.begin(deployment.hosts[route_index], port)
        await asyncio.sleep(0.05)


def run_case(
    folder: Path,
    case: Callable[[Deployment], Awaitable[bool]],
    lag_s: float = 0.0,
    idle_timeout_ms: int = 15_000,
) -> None:
    """Run a case and exit: `case` returns whether the rule held."""
    with (folder / "record.txt").open("w") as record:
        deployment = Deployment(record, lag_s, idle_timeout_ms)
        result = COULD_NOT_RUN
        try:
            held = asyncio.run(asyncio.wait_for(_run(deployment, case), 110))
            result = HELD if held else BROKEN
        except Exception:  # noqa: BLE001 - whatever failed, the case could not run.
            traceback.print_exc(file=record)
        finally:
            deployment.end()
        print(f"result {result} trouble {int(deployment.has_trouble)}", file=record)
    print(f"{folder.name}: exit {result}, trouble {int(deployment.has_trouble)}")
    sys.exit(result)


async def _run(deployment: Deployment, case: Callable[[Deployment], Awaitable[bool]]) -> bool:
    await deployment.start()
    held = await case(deployment)
    deployment.write_all()
    deployment.fleet.end()
    await asyncio.sleep(0.3)  # The connections of the balancers end.
    return held

"""A small deployment on loopback addresses: balancers as the deploy file starts them, routers, stand-ins.

Only the balancers are the project's own programs, each a process of its own.  The store, the targets, the
clients and the platform's routers run in the process of the script.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib

from clients import ClientHost
from packets import Packet
from record import Record
from store import Store
from targets import Target

ROOT = pathlib.Path(__file__).resolve().parents[2]
POLL_S = 0.5
"""Seconds between two questions for a balancer's readiness."""
MISSES = 2
"""Questions missed after which a balancer is out."""
HALLS = ("osu-hall", "tema-hall", "legon-hall")
KEPT_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")
SETTINGS = """node={name}
role=balancer
machine_class=front
serves=front,control
ip={ip}
zone={hall}
region=accra
zones.osu-hall=accra
zones.tema-hall=accra
zones.legon-hall=accra
listen.datagram_addr={ip}:{ports[0]}
listen.readiness={ip}:{ports[1]}
listen.control={ip}:{ports[2]}
port_range={ports[3]},{ports[4]}
seeds={seeds}
bootstrap=true
fault_counted=false
limits.cpu_share=0.774
limits.cores=1
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=announce
beat_interval_ms=1200
contracts=base,drain,config,cost,recover,flows,platform
tolerate.machines=1
tolerate.zones=0
tolerate.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=3000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.rollback_slack_ms=250
bounds.skew_max_ms=12000
bounds.recovery_s=12
bounds.flow_stray_ms=2000
bounds.flow_ttl_s=60
flow_hash=steady
addressing=echo
platform.addr={store}
platform.addressing=read
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""
CONTACT_S = 4.0
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0


class Balancer:
    """One balancer, started with the command of the deploy file.

    :ivar is_in: whether the routers use it.
    """

    def __init__(self, name: str, ip: str, hall: str, folder: pathlib.Path) -> None:
        self.name = name
        self.ip = ip
        self.hall = hall
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self.is_in = False
        self.misses = MISSES
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["balancer"]
        environment = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "SLOEPOND_NODE_FILE": str(self.settings)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )

    def signal(self, number: int) -> None:
        """Send a signal to this process."""
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is not None and self.process.poll() is not None

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def log_lines(self, kind: str) -> list[dict[str, object]]:
        """Return the log lines of one kind."""
        lines = []
        for text in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                line = json.loads(text)
                if line.get("kind") == kind:
                    lines.append(line)
        return lines


class Deployment:
    """All balancers and stand-ins of one run.

    :param balancers: number of balancers, spread over the halls.
    """

    def __init__(self, balancers: int) -> None:
        self.record = Record()
        self.store = Store(self.record.note)
        self.targets: list[Target] = []
        self.clients: list[ClientHost] = []
        self._folder = tempfile.TemporaryDirectory()
        self._net = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        self._next_host = 10
        self._tasks: list[asyncio.Task[None]] = []
        self._ports = self._free_ports(20)
        self.reply_port = self._ports[0]
        folder = pathlib.Path(self._folder.name)
        self.balancers = [
            Balancer(f"front-{HALLS[n % 3]}-{n // 3 + 1}", self.host(), HALLS[n % 3], folder)
            for n in range(balancers)
        ]
        self._router = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._router.setblocking(False)
        self._router.bind((self.host(), 0))

    def host(self) -> str:
        """Return an unused loopback address of this run."""
        self._next_host += 1
        return f"{self._net}.{self._next_host}"

    def _free_ports(self, count: int) -> list[int]:
        """Return consecutive ports that are free on the addresses of this run."""
        while True:
            first = random.randrange(7000, 30000)
            ports = list(range(first, first + count))
            try:
                for port in ports:
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind(("0.0.0.0" if kind == socket.SOCK_STREAM else f"{self._net}.1", port))
            except OSError:
                continue
            return ports

    async def start(self, configuration: dict[str, object]) -> None:
        """Write the first configuration, start the balancers and wait until the routers use all."""
        await self.store.start(self.host())
        self.store.put("op/config", configuration)
        seeds = ",".join(f"{each.ip}:{self._ports[2]}" for each in self.balancers[:3])
        ports = (*self._ports[:3], self._ports[3], self._ports[18])
        for each in self.balancers:
            text = SETTINGS.format(
                name=each.name, ip=each.ip, hall=each.hall, ports=ports, seeds=seeds, store=self.store.address
            )
            each.settings.write_text(text)

    async def start_balancers(self, settle_s: float = 3.0) -> None:
        """Start the balancers, wait until the routers use them, and then for some seconds more."""
        for each in self.balancers:
            each.start()
            self.run(self._poll(each))
        for _ in range(200):
            await asyncio.sleep(0.1)
            if all(each.is_in for each in self.balancers):
                break
        else:
            raise CannotRunError("not all balancers became ready")
        await asyncio.sleep(settle_s)

    async def add_target(self, identity: str, service: str, hall: str) -> Target:
        """Start a target."""
        target = Target(self.store, self.record.note, identity, service, hall, self.reply_port)
        await target.start(self.host())
        self.targets.append(target)
        return target

    async def add_client(self, hall: str) -> ClientHost:
        """Start a client machine in a hall."""
        client = ClientHost(self.host(), self._deliver, hall, self.record.note)
        await client.start(self.reply_port)
        self.clients.append(client)
        return client

    def run(self, work: object) -> None:
        """Run a coroutine until the end of the run."""
        self._tasks.append(asyncio.ensure_future(work))  # type: ignore[call-overload]

    def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for each in self.balancers:
            each.end()
        for target in self.targets:
            target.end()
        for client in self.clients:
            client.close()
        self.store.close()
        self._router.close()
        self._folder.cleanup()

    def _deliver(self, zone: str, packet: Packet, datagram: bytes) -> None:
        """Hand a packet to a balancer in the client's zone, picked by a steady hash of the flow."""
        used = self._used_in(zone) or [each for each in self.balancers if each.is_in]
        if not used:
            return
        key = repr(packet.flow)
        chosen = max(used, key=lambda each: hashlib.blake2s(f"{key}{each.ip}".encode()).digest())
        with contextlib.suppress(OSError):
            self._router.sendto(datagram, (chosen.ip, self.reply_port))

    def _used_in(self, zone: str) -> list[Balancer]:
        """Return the balancers of a zone that are in, or all of it if fewer than half are."""
        all_of_zone = [each for each in self.balancers if each.hall == zone]
        used = [each for each in all_of_zone if each.is_in]
        return all_of_zone if used and 2 * len(used) < len(all_of_zone) else used

    async def _poll(self, balancer: Balancer) -> None:
        """Ask a balancer twice a second whether it is ready."""
        while True:
            is_ready = await self._is_ready(balancer)
            balancer.misses = 0 if is_ready else balancer.misses + 1
            is_in = balancer.misses < MISSES
            if is_in is not balancer.is_in:
                self.record.note(f"routers: {balancer.name} is {'in' if is_in else 'out'}")
            balancer.is_in = is_in
            await asyncio.sleep(POLL_S)

    async def _is_ready(self, balancer: Balancer) -> bool:
        try:
            async with asyncio.timeout(POLL_S):
                reader, writer = await asyncio.open_connection(balancer.ip, self._ports[1])
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.startswith(b"HTTP/1.1 200")


class CannotRunError(Exception):
    """The case could not run."""


def configuration(version: int, routes: dict[str, tuple[str, str, int]]) -> dict[str, object]:
    """Return a configuration as the operator writes it.

    :param routes: service, address and port of each route, by name.
    """
    services = sorted({service for service, _, _ in routes.values()})
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": host,
                "path_prefix": f"/{port}/",
                "kind": "safe",
                "timeout_ms": 2000,
                "slo_ms": 120,
                "priority": 2,
                "service": service,
                "max_attempts": 2,
            }
            for name, (service, host, port) in routes.items()
        ],
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def is_troubled() -> bool:
    """Return whether the run has its disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def conclude(case: object, folder: pathlib.Path, balancers: int) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    :param case: coroutine function that takes the deployment and returns the breaches as texts.
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        breaches = asyncio.run(_play(case, folder, balancers))
    except Exception as error:  # Anything else than a breach means that the case could not run.
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    print(f"{len(breaches)} breaches" + "".join(f"\n{text}" for text in breaches[:10]))
    sys.exit(1 if breaches else 0)


async def _play(case: object, folder: pathlib.Path, balancers: int) -> list[str]:
    deployment = Deployment(balancers)
    try:
        breaches = await case(deployment)  # type: ignore[operator]
    finally:
        deployment.close()
        deployment.record.note(
            f"answers of the store: {deployment.store.answered}, lost: {deployment.store.lost}"
        )
        deployment.record.write(folder / "record.txt")
    return breaches

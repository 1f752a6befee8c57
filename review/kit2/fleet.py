"""Starts balancers as the deploy file says, each a process of its own on a loopback address."""

from __future__ import annotations

import os
import re
import signal
import socket
import subprocess
import time
import tomllib
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("osu-hall", "osu-hall", "osu-hall", "tema-hall", "tema-hall", "legon-hall", "legon-hall")
SETTINGS = """\
node={name}
role=balancer
machine_class=front
serves=front,control
ip={ip}
zone={zone}
region=accra
zones.osu-hall=accra
zones.tema-hall=accra
zones.legon-hall=accra
listen.datagram_addr={ip}:{edge}
listen.readiness={ip}:{readiness}
listen.control={ip}:{control}
port_range={peer},{peer}
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


def free_port(hosts: list[str]) -> int:
    """Return a port that is free for TCP and UDP on all of some addresses."""
    while True:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port: int = probe.getsockname()[1]
        if all(_is_free(host, port) for host in hosts):
            return port


def _is_free(host: str, port: int) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind((host, port))
    except OSError:
        return False
    return True


class Balancer:
    """One process of the role."""

    def __init__(self, name: str, ip: str, zone: str, folder: Path) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.conf"
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0

    def start(self) -> None:
        """Start it with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["balancer"]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SLOEPOND_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.started_at = time.monotonic()

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal to it."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_reader(self) -> bool:
        """Return whether its last change of role made it a reader of the store."""
        roles = re.findall(r'"kind":"role_changed","subject":"(\w+)"', self.log.read_text())
        return bool(roles) and roles[-1] == "reader"

    def metrics(self) -> str:
        """Return its metrics."""
        with urllib.request.urlopen(f"http://{self.ip}:9464/metrics", timeout=1) as answer:
            text: str = answer.read().decode()
        return text


class Fleet:
    """Seven balancers in three zones."""

    def __init__(self, net: int, store: str, folder: Path, count: int = 7) -> None:
        ips = [f"127.{net}.1.{10 + number}" for number in range(count)]
        self.edge = free_port([*ips, f"127.{net}.9.1", f"127.{net}.9.2", f"127.{net}.9.3"])
        readiness, control, peer = (free_port(ips) for _ in range(3))
        self.balancers: list[Balancer] = []
        seeds = ",".join(f"{ip}:{control}" for ip in (ips[0], ips[count // 2], ips[-1]))
        for number, ip in enumerate(ips):
            balancer = Balancer(f"front-{number + 1}", ip, ZONES[number], folder)
            balancer.settings.write_text(
                SETTINGS.format(
                    name=balancer.name,
                    ip=ip,
                    zone=balancer.zone,
                    edge=self.edge,
                    readiness=readiness,
                    control=control,
                    peer=peer,
                    seeds=seeds,
                    store=store,
                )
            )
            self.balancers.append(balancer)
        self.readiness = readiness

    def daemons(self) -> dict[str, list[tuple[str, str, int, int]]]:
        """Return name, address, port of packets and port of readiness of each, by zone."""
        zones: dict[str, list[tuple[str, str, int, int]]] = {}
        for each in self.balancers:
            zones.setdefault(each.zone, []).append((each.name, each.ip, self.edge, self.readiness))
        return zones

    def start(self) -> None:
        """Start all."""
        for balancer in self.balancers:
            balancer.start()

    def end(self) -> None:
        """End all processes."""
        for balancer in self.balancers:
            balancer.kill(signal.SIGCONT)
            balancer.kill()
        for balancer in self.balancers:
            if balancer.process is not None:
                balancer.process.wait()

    def by_name(self, name: str) -> Balancer:
        """Return a balancer."""
        return next(each for each in self.balancers if each.name == name)

"""Stand-ins for the platform on loopback addresses: a store, targets and a client behind a router."""

from __future__ import annotations

import base64
import http.client
import http.server
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HEADER = struct.Struct(">IIIHHIIHBBI")
SYN, ACK = 16, 8
ROUTE = ("198.18.0.1", 443)
METRICS_PORT = 9464
PATIENCE_S = 20.0
POLL_S = 0.02
PARTS = 5
"""Number of parts in which the store sends a response."""
REPOSITORY = pathlib.Path(__file__).parents[2]


def free_port(host):
    """Return a port that is free for TCP and UDP."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def wait_for(condition, what):
    """Return the result of a condition once it is true; fail after `PATIENCE_S`."""
    end = time.monotonic() + PATIENCE_S
    while time.monotonic() < end:
        result = condition()
        if result:
            return result
        time.sleep(POLL_S)
    raise AssertionError(f"timed out waiting for {what}")


class StoreStandin:
    """Answers reads of a key and of a prefix; watches return no changes after their wait."""

    def __init__(self, host, configuration, servers):
        self.items = {"op/config": configuration}
        self.items.update({f"servers/{name}": value for name, value in servers.items()})
        self.silent = threading.Event()
        self.answering = threading.Event()
        self.answering.set()
        self.closing = threading.Event()
        self.pause_s = 0.0
        standin = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                standin.answer(self)

            def log_message(self, *arguments):
                pass

        self.server = http.server.ThreadingHTTPServer((host, 0), Handler)
        self.server.daemon_threads = True
        self.address = f"{host}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def item(self, key):
        """Return an item as the store writes it."""
        value = base64.b64encode(json.dumps(self.items[key]).encode()).decode()
        return {"key": key, "value": value, "rev": 3, "made": 1, "lease": 0}

    def answer(self, handler):
        """Answer one call, once answering is enabled."""
        self.answering.wait(PATIENCE_S)
        if self.silent.is_set():
            self.closing.wait(PATIENCE_S)
            return
        target = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(target.query))
        if target.path == "/api/kv-key":
            body = {**self.item(query["key"]), "at": 3}
        elif target.path == "/api/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["path_prefix"]))
            body = {"items": [self.item(key) for key in keys], "more": False, "at": 3}
        else:
            self.closing.wait(int(query["wait_ms"]) / 1000)
            body = {"events": [], "at": 3}
        data = json.dumps(body).encode()
        handler.send_response(200)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        part = len(data) // PARTS + 1
        for begin in range(0, len(data), part):
            handler.wfile.write(data[begin : begin + part])
            handler.wfile.flush()
            if query.get("path_prefix") == "op/" and target.path == "/api/kv-range":
                self.closing.wait(self.pause_s)

    def close(self):
        """End all calls and the server."""
        self.closing.set()
        self.server.shutdown()
        self.server.server_close()


class TargetStandin:
    """Receives datagrams and, like a target, accepts connections at the same address."""

    def __init__(self, host):
        port = free_port(host)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, port))
        self.listener = socket.create_server((host, port))
        self.socket.setblocking(False)
        self.address = "{}:{}".format(*self.socket.getsockname())
        self.received = []

    def drain(self):
        """Return all datagrams received so far."""
        while True:
            try:
                self.received.append(self.socket.recv(4096))
            except BlockingIOError:
                return self.received


def packet(port, flags, ack=0, echo=0, data=b"", route=ROUTE, client="127.0.30.9"):
    """Return a client's packet."""
    source = struct.unpack(">I", socket.inet_aton(client))[0]
    destination = struct.unpack(">I", socket.inet_aton(route[0]))[0]
    header = HEADER.pack(7, ack, source, port, route[1], destination, 0xABCD, len(data), flags, 0, echo)
    return header + data


class BalancerProcess:
    """`python -m sloepond.platform` with its own settings file."""

    def __init__(self, folder, host, ports, store, seeds, settings_lines=""):
        edge, readiness, peer = ports
        self.host = host
        self.edge = (host, edge)
        self.readiness = (host, readiness)
        self.metrics = (host, METRICS_PORT)
        path = pathlib.Path(folder) / f"{host}.conf"
        self.settings = path
        self.text = (
            f"node=front-{host}\nzone=north\nip={host}\nlisten.datagram_addr={host}:{edge}\n"
            f"listen.readiness={host}:{readiness}\nport_range={peer},{peer + 15}\n"
            f"seeds={','.join(f'{seed}:1' for seed in seeds)}\nplatform.addr={store}\n"
            f"{settings_lines}"
        )
        path.write_text(self.text)
        environment = {**os.environ, "SLOEPOND_NODE_FILE": str(path)}
        self.log = pathlib.Path(folder) / f"{host}.log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "sloepond.platform"],
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def get(self, address, target):
        """Return status and body of a GET, None if there is no response."""
        connection = http.client.HTTPConnection(*address, timeout=5)
        try:
            connection.request("GET", target)
            response = connection.getresponse()
            return response.status, response.read().decode()
        except OSError:
            return None
        finally:
            connection.close()

    def is_ready(self):
        """Return whether the readiness check succeeds, as requested by the router."""
        assert self.process.poll() is None, self.log.read_text()
        answer = self.get(self.readiness, "/api/readiness")
        return answer is not None and answer[0] == 200

    def signal(self, number):
        """Send a signal."""
        self.process.send_signal(number)

    def end(self):
        """Kill the process if it runs, and wait for its end."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Stage:
    """All stand-ins of one scenario."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory()
        self.targets = [TargetStandin("127.0.30.2"), TargetStandin("127.0.30.3")]
        servers = {
            f"i-0000000{n + 1}": {
                "service": "a",
                "addr": target.address,
                "zone": "north",
                "version": "v1",
                "slots": 2,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": 1,
            }
            for n, target in enumerate(self.targets)
        }
        routes = [{"name": "r", "host": ROUTE[0], "path_prefix": f"/{ROUTE[1]}/", "service": "a"}]
        self.store = StoreStandin("127.0.30.1", {"version": 4, "routes": routes}, servers)
        self.hosts = ("127.0.30.4", "127.0.30.5")
        self.ports = (free_port(self.hosts[0]),) + tuple(free_port(self.hosts[1]) for _ in range(2))
        self.balancers = []
        self.settings_lines = ""
        self.client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.client.bind(("127.0.30.9", self.ports[0]))
        self.client.settimeout(PATIENCE_S)

    def start_balancer(self):
        """Start one more balancer."""
        host = self.hosts[len(self.balancers)]
        seeds = [other for other in self.hosts if other != host]
        balancer = BalancerProcess(
            self.folder.name, host, self.ports, self.store.address, seeds, self.settings_lines
        )
        self.balancers.append(balancer)
        return balancer

    def send(self, balancer, datagram):
        """Send a client's packet as the router does."""
        self.client.sendto(datagram, balancer.edge)

    def target_of(self, mark):
        """Return the target that received a datagram that contains `mark`, and the datagram."""
        for target in self.targets:
            for datagram in target.drain():
                if mark in datagram:
                    return target, datagram
        return None

    def close(self):
        """End all processes and close all sockets."""
        for balancer in self.balancers:
            balancer.end()
        self.store.close()
        self.client.close()
        for target in self.targets:
            target.socket.close()
            target.listener.close()
        self.folder.cleanup()

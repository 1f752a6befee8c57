"""What a balancer's process begins with: its settings and its bound sockets.

Both are needed before anything slow is loaded, so this module imports next to nothing.
"""

from __future__ import annotations

import socket


class ForwardingSettings:
    """What a forwarding balancer needs to know at its start; not changed later.

    Addresses are `ip:port`.

    :ivar name: name of this machine.
    :ivar store: address of the platform's store.
    :ivar metrics: where metrics are served, empty for nowhere.
    :ivar peer_port: port of this and every other balancer for what they say to each
        other, 0 for none.
    :ivar seeds: IP addresses of balancers that may be up.
    :ivar capacity: share of a core this process may use.
    """

    __slots__ = (
        "name", "zone", "ip", "edge", "readiness", "store", "metrics", "peer_port", "seeds", "capacity",
    )  # fmt: skip

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        ip: str,
        edge: str,
        readiness: str,
        store: str,
        metrics: str = "",
        peer_port: int = 0,
        seeds: tuple[str, ...] = (),
        capacity: float = 1.0,
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.edge = edge
        self.readiness = readiness
        self.store = store
        self.metrics = metrics
        self.peer_port = peer_port
        self.seeds = seeds
        self.capacity = capacity

    def differences(self, other: ForwardingSettings) -> tuple[str, ...]:
        """Return the names of the fields that are not alike."""
        return tuple(name for name in self.__slots__ if getattr(self, name) != getattr(other, name))


class BoundSockets:
    """Sockets bound before anything else is loaded, so that nothing sent to them is lost.

    :ivar edge: UDP, callers' packets.
    :ivar readiness: TCP, listening.
    :ivar peer: UDP, what other balancers say.
    :ivar knowledge: TCP, listening for balancers that have just started.
    :ivar metrics: TCP, listening; None where the address is taken.
    """

    __slots__ = ("edge", "readiness", "peer", "knowledge", "metrics")

    def __init__(
        self,
        *,
        edge: socket.socket,
        readiness: socket.socket,
        peer: socket.socket,
        knowledge: socket.socket,
        metrics: socket.socket | None = None,
    ) -> None:
        self.edge = edge
        self.readiness = readiness
        self.peer = peer
        self.knowledge = knowledge
        self.metrics = metrics

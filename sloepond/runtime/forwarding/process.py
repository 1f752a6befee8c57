"""What a balancer's process begins with: its settings and its bound sockets.

Both are needed before anything slow is loaded, so this module imports nothing at first;
even `typing` would take a tenth of the time until the sockets are bound.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    import socket


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of `ip:port`.

    :raises ValueError: where there is no port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


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
    :ivar regions: region of each hall.
    :ivar cold_factor: times what a back end is said to bear just after its start, it may be given.
    :ivar cold_slack_per_s: new flows a second added to that, None where nothing limits them.
    :ivar kill_after_s: time from the request to stop after which the process is killed, 0 where not told.
    :ivar change_limit_s: time within which a change must be in force, 0 where not told.
    :ivar ignored: fields of the settings file whose values cannot be used, each with the reason;
        their defaults apply.
    """

    __slots__ = (
        "name", "hall", "ip", "edge", "readiness", "store", "metrics", "peer_port", "seeds", "capacity",
        "regions", "cold_factor", "cold_slack_per_s", "kill_after_s", "change_limit_s", "ignored",
    )  # fmt: skip

    def __init__(
        self,
        *,
        name: str,
        hall: str,
        ip: str,
        edge: str,
        readiness: str,
        store: str,
        metrics: str = "",
        peer_port: int = 0,
        seeds: tuple[str, ...] = (),
        capacity: float = 1.0,
        regions: dict[str, str] | None = None,
        cold_factor: float = 1.0,
        cold_slack_per_s: float | None = None,
        kill_after_s: float = 0.0,
        change_limit_s: float = 0.0,
        ignored: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.hall = hall
        self.ip = ip
        self.edge = edge
        self.readiness = readiness
        self.store = store
        self.metrics = metrics
        self.peer_port = peer_port
        self.seeds = seeds
        self.capacity = capacity
        self.regions = regions or {}
        self.cold_factor = cold_factor
        self.cold_slack_per_s = cold_slack_per_s
        self.kill_after_s = kill_after_s
        self.change_limit_s = change_limit_s
        self.ignored = ignored or {}

    def differences(self, other: ForwardingSettings) -> tuple[str, ...]:
        """Return the names of the settings that are not alike."""
        names = (name for name in self.__slots__ if name != "ignored")
        return tuple(name for name in names if getattr(self, name) != getattr(other, name))


class NotBound:
    """Stands for a socket that could not be bound.

    :ivar reason: the error, for a log line.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class BoundDescriptors:
    """Descriptors of non-blocking sockets, bound so that nothing sent to them is lost.

    :ivar edge: UDP, callers' packets.
    :ivar readiness: TCP, listening.
    :ivar peer: UDP, what other balancers say.
    :ivar snapshot: TCP, listening for balancers that have just started.
    :ivar metrics: TCP, listening, or why metrics are not served.
    """

    __slots__ = ("edge", "readiness", "peer", "snapshot", "metrics")

    def __init__(
        self, *, edge: int, readiness: int, peer: int, snapshot: int, metrics: int | NotBound
    ) -> None:
        self.edge = edge
        self.readiness = readiness
        self.peer = peer
        self.snapshot = snapshot
        self.metrics = metrics


class BoundSockets:
    """The sockets of descriptors; see there for what each of them is for.

    :ivar signals: readable, receives the number of each signal as a byte.
    """

    __slots__ = ("edge", "readiness", "peer", "snapshot", "metrics", "signals")

    def __init__(self, descriptors: BoundDescriptors, signals: int) -> None:
        import socket

        def adopt(descriptor: int, kind: socket.SocketKind, family: int = socket.AF_INET) -> socket.socket:
            adopted = socket.socket(family, kind, fileno=descriptor)
            adopted.setblocking(False)
            return adopted

        self.edge = adopt(descriptors.edge, socket.SOCK_DGRAM)
        self.peer = adopt(descriptors.peer, socket.SOCK_DGRAM)
        self.readiness = adopt(descriptors.readiness, socket.SOCK_STREAM)
        self.snapshot = adopt(descriptors.snapshot, socket.SOCK_STREAM)
        self.metrics: socket.socket | None = None
        if not isinstance(descriptors.metrics, NotBound):
            self.metrics = adopt(descriptors.metrics, socket.SOCK_STREAM)
        self.signals = adopt(signals, socket.SOCK_STREAM, socket.AF_UNIX)

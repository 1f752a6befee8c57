"""What a balancer's process begins with: its settings and its bound sockets.

Both are needed before anything slow is loaded, so this module imports nothing at first;
even `typing` would take a tenth of the time until the sockets are bound.  Owns these types;
relies on nothing.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from sloepond.runtime.forwarding.sockets import Socket


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of `ip:port`.

    `runtime.addresses.parse_address` also reads IPv6; it loads `socket`, which this module must not.

    :raises ValueError: if there is no port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class ForwardingSettings:
    """Settings of a forwarding balancer as they are read from the file; an object doesn't change.

    Addresses are `ip:port`.

    :ivar name: name of this machine.
    :ivar hall: hall of this machine.
    :ivar ip: address of this machine, without a port.
    :ivar edge: address that receives callers' packets, by UDP.
    :ivar readiness: address of the readiness check, by HTTP.
    :ivar store: address of the platform's store.
    :ivar metrics: address of the metrics, by HTTP; empty for none.
    :ivar peer_port: port of every balancer for messages between them; 0 has the system choose one,
        which no peer knows.
    :ivar seeds: IP addresses of balancers that may be up.
    :ivar capacity: processor of this machine in usual cores.
    :ivar regions: region of each hall.
    :ivar cold_factor: limit of new flows to a back end just after its start, as a multiple of what
        its service is said to bear then.
    :ivar cold_slack_per_s: new flows a second added to that limit; None for no limit.
    :ivar kill_after_s: seconds from SIGTERM to SIGKILL, 0 if not known.
    :ivar change_limit_s: seconds within which a change has to be in force, 0 if not known.
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
    :ivar peer_datagrams: UDP, messages of other balancers.
    :ivar peer_streams: TCP, listening for balancers that fetch routes or a snapshot.
    :ivar metrics: TCP, listening, or why metrics are not served.
    """

    __slots__ = ("edge", "readiness", "peer_datagrams", "peer_streams", "metrics")

    def __init__(
        self, *, edge: int, readiness: int, peer_datagrams: int, peer_streams: int, metrics: int | NotBound
    ) -> None:
        self.edge = edge
        self.readiness = readiness
        self.peer_datagrams = peer_datagrams
        self.peer_streams = peer_streams
        self.metrics = metrics


class BoundSockets:
    """The sockets of `BoundDescriptors`; see there for the use of each.

    :ivar signals: readable, receives the number of each signal as a byte.
    """

    __slots__ = ("edge", "readiness", "peer_datagrams", "peer_streams", "metrics", "signals")

    def __init__(self, descriptors: BoundDescriptors, signals: int) -> None:
        import _socket

        from sloepond.runtime.forwarding.sockets import Socket

        def adopt(descriptor: int, kind: int, family: int = _socket.AF_INET) -> Socket:
            adopted = Socket(family, kind, fileno=descriptor)
            adopted.setblocking(False)
            return adopted

        self.edge = adopt(descriptors.edge, _socket.SOCK_DGRAM)
        self.peer_datagrams = adopt(descriptors.peer_datagrams, _socket.SOCK_DGRAM)
        self.readiness = adopt(descriptors.readiness, _socket.SOCK_STREAM)
        self.peer_streams = adopt(descriptors.peer_streams, _socket.SOCK_STREAM)
        self.metrics: Socket | None = None
        if not isinstance(descriptors.metrics, NotBound):
            self.metrics = adopt(descriptors.metrics, _socket.SOCK_STREAM)
        self.signals = adopt(signals, _socket.SOCK_STREAM, _socket.AF_UNIX)

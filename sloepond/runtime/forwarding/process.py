"""The settings and bound sockets with which a balancer's process starts.

Both are needed before the slow imports, so this module imports nothing when it is loaded; even
`typing` would take a tenth of the time until the sockets are bound.  Owns these types; relies on
nothing.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from sloepond.runtime.forwarding.sockets import Socket


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of `ip:port`.

    `runtime.addresses.parse_address` supports IPv6 too, but imports `socket`, which this module must not.

    :raises ValueError: if there is no port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class ForwardingSettings:
    """Settings of a forwarding balancer as read from the file; not modified afterwards.

    Addresses are `ip:port`.

    :ivar name: name of this machine.
    :ivar hall: hall of this machine.
    :ivar ip: address of this machine, without a port.
    :ivar edge: UDP address that receives callers' packets.
    :ivar readiness: HTTP address of the readiness check.
    :ivar store: address of the platform's store.
    :ivar metrics: HTTP address of the metrics; empty for none.
    :ivar peer_port: port that all balancers use for messages between them; with 0 the system chooses
        one, which peers cannot know.
    :ivar seeds: IP addresses of other balancers, which may be down.
    :ivar capacity: processing capacity of this machine in standard cores.
    :ivar regions: region of each hall.
    :ivar cold_factor: limit of new flows to a cold back end, as a multiple of the rate that the
        configuration states for its service.
    :ivar cold_slack_per_s: new flows per second added to that limit; None for no limit.
    :ivar kill_after_s: seconds from SIGTERM to SIGKILL, 0 if unknown.
    :ivar change_limit_s: seconds within which a change must be in force, 0 if unknown.
    :ivar ignored: fields of the settings file whose values cannot be used, with the reasons; their
        defaults apply.
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
        """Return the names of the settings that differ."""
        names = (name for name in self.__slots__ if name != "ignored")
        return tuple(name for name in names if getattr(self, name) != getattr(other, name))


class NotBound:
    """Placeholder for a socket that could not be bound.

    :ivar reason: the error, for a log line.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class BoundDescriptors:
    """Descriptors of bound non-blocking sockets.

    :ivar edge: UDP, callers' packets.
    :ivar readiness: TCP, listening.
    :ivar peer_datagrams: UDP, messages of other balancers.
    :ivar peer_streams: TCP, listening for balancers that fetch routes or a snapshot.
    :ivar metrics: TCP, listening, or the reason why metrics are not served.
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
    """The sockets of `BoundDescriptors`, which documents their use.

    :ivar signals: yields the number of each received signal as one byte.
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

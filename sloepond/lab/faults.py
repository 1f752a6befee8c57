"""Faults and operator actions of a scenario's timeline, as typed records.

Times are seconds after the balancers have started.  Balancers are named
`balancer-1`, ..., halls `hall-1`, ..., back ends `<service>-1`, ...; the name of a
hall instead of a balancer selects all balancers of that hall.
"""

from __future__ import annotations

import msgspec


class FaultBase(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """Base of all entries of a timeline.

    :ivar at: seconds after the balancers have started.
    """

    at: float


class Crash(FaultBase, frozen=True, tag="crash"):
    """Balancers crash and lose all state.

    :ivar restart_after_s: delay until a new process of the same name starts;
        None for never.
    """

    balancers: tuple[str, ...]
    restart_after_s: float | None = None


class Stop(FaultBase, frozen=True, tag="stop"):
    """Planned stop of balancers.

    :ivar replace: whether a new machine in the same hall starts after each one ends.
    :ivar restart: whether the same machine starts again after it ends.
    """

    balancers: tuple[str, ...]
    replace: bool = False
    restart: bool = False


class RollingReplace(FaultBase, frozen=True, tag="rolling-replace"):
    """Stops and replaces balancers one after the other.

    :ivar balancers: balancers or halls; empty for all balancers.
    :ivar pause_s: delay between the start of a replacement and the next stop.
    """

    balancers: tuple[str, ...] = ()
    pause_s: float = 4.0


class Join(FaultBase, frozen=True, tag="join"):
    """New balancers start on new machines in a hall."""

    hall: str
    count: int = 1


class Pause(FaultBase, frozen=True, tag="pause"):
    """Processes stall, then handle their queued input as if no time had passed."""

    balancers: tuple[str, ...]
    duration_s: float


class Partition(FaultBase, frozen=True, tag="partition"):
    """Machines on one side cannot reach those on the other.

    Callers and the platform still reach both sides.

    :ivar side: halls, balancers or back ends on one side.
    :ivar other: halls, balancers or back ends on the other side; empty for all other machines.
    :ivar one_way: whether only packets from `side` to `other` are lost.
    :ivar backends: whether naming a hall includes its back ends.
    """

    side: tuple[str, ...]
    duration_s: float
    other: tuple[str, ...] = ()
    one_way: bool = False
    backends: bool = True


class Disturb(FaultBase, frozen=True, tag="disturb"):
    """All links lose, duplicate and reorder these shares of datagrams (0 to 1) for the duration."""

    duration_s: float
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0


class Drain(FaultBase, frozen=True, tag="drain"):
    """The operator declares back ends as draining.

    :ivar notice: whether the back ends themselves also refuse new flows.
    :ivar restore_after_s: delay until they are declared active again; None for never.
    """

    backends: tuple[str, ...]
    notice: bool = False
    restore_after_s: float | None = None


class BackendCrash(FaultBase, frozen=True, tag="backend-crash"):
    """Back ends crash and lose their flows; they restart with a cold start."""

    backends: tuple[str, ...]
    restart_after_s: float = 5.0


class BackendLie(FaultBase, frozen=True, tag="backend-lie"):
    """Back ends report wrong health and load for the duration.

    Load reports are sent in replies.  No balancer requests a health endpoint, so none is simulated.

    :ivar healthy: state that the health endpoint reports; None for the true one.
    :ivar load_factor: factor applied to every load report.
    :ivar lag_s: age of every load report.
    """

    backends: tuple[str, ...]
    duration_s: float
    healthy: bool | None = None
    load_factor: float = 1.0
    lag_s: float = 0.0


class ConfigurationChange(FaultBase, frozen=True, tag="configuration-change"):
    """The operator declares a new generation that only changes a label."""


class PlatformDown(FaultBase, frozen=True, tag="platform-down"):
    """The configuration service does not answer."""

    duration_s: float


class PlatformStale(FaultBase, frozen=True, tag="platform-stale"):
    """The configuration service answers with a generation older by `generations`."""

    duration_s: float
    generations: int = 1


class ConfigurationDelay(FaultBase, frozen=True, tag="configuration-delay"):
    """Some balancers receive no configuration, neither from the platform nor from peers."""

    balancers: tuple[str, ...]
    duration_s: float


Fault = (
    Crash
    | Stop
    | RollingReplace
    | Join
    | Pause
    | Partition
    | Disturb
    | Drain
    | BackendCrash
    | BackendLie
    | ConfigurationChange
    | PlatformDown
    | PlatformStale
    | ConfigurationDelay
)

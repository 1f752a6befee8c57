"""Faults and operator actions of a scenario's timeline, as typed records.

Times are seconds after the balancers have started.  Balancers are named
`balancer-1`, ..., halls `hall-1`, ..., back ends `<service>-1`, ...; a hall in
place of a balancer means all balancers of that hall.
"""

from __future__ import annotations

import msgspec


class FaultBase(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """What all entries of a timeline have.

    :ivar at: seconds after the balancers have started.
    """

    at: float


class Crash(FaultBase, frozen=True, tag="crash"):
    """Balancers stop at once and lose all state.

    :ivar restart_after_s: time until a new process of the same name starts;
        None for never.
    """

    balancers: tuple[str, ...]
    restart_after_s: float | None = None


class Stop(FaultBase, frozen=True, tag="stop"):
    """Planned stop of balancers.

    :ivar replace: whether a new machine in the same hall starts as each one ends.
    :ivar restart: whether the same machine starts again as each one ends.
    """

    balancers: tuple[str, ...]
    replace: bool = False
    restart: bool = False


class RollingReplace(FaultBase, frozen=True, tag="rolling-replace"):
    """Stops and replaces balancers one after the other.

    :ivar balancers: which; empty for all of them.
    :ivar pause_s: time between a replacement's start and the next stop.
    """

    balancers: tuple[str, ...] = ()
    pause_s: float = 4.0


class Join(FaultBase, frozen=True, tag="join"):
    """New balancers start in a hall."""

    hall: str
    count: int = 1


class Pause(FaultBase, frozen=True, tag="pause"):
    """Processes stand still, then handle what has queued, as if no time had passed."""

    balancers: tuple[str, ...]
    duration_s: float


class Partition(FaultBase, frozen=True, tag="partition"):
    """Machines of one side cannot reach those of the other.

    Callers and the platform still reach both.

    :ivar side: halls, balancers or back ends of the one side.
    :ivar other: those of the other side; empty for all the rest.
    :ivar one_way: whether only packets from `side` to `other` are lost.
    :ivar backends: whether back ends of the halls are part of the sides.
    """

    side: tuple[str, ...]
    duration_s: float
    other: tuple[str, ...] = ()
    one_way: bool = False
    backends: bool = True


class Disturb(FaultBase, frozen=True, tag="disturb"):
    """All links lose, duplicate and reorder datagrams for a while (shares of 1)."""

    duration_s: float
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0


class Drain(FaultBase, frozen=True, tag="drain"):
    """The operator declares back ends as draining.

    :ivar notice: whether the back ends themselves refuse new flows from then on.
    :ivar restore_after_s: time until they are declared active again; None for never.
    """

    backends: tuple[str, ...]
    notice: bool = False
    restore_after_s: float | None = None


class BackendCrash(FaultBase, frozen=True, tag="backend-crash"):
    """Back ends stop at once and lose their flows; they start again, cold."""

    backends: tuple[str, ...]
    restart_after_s: float = 5.0


class BackendLie(FaultBase, frozen=True, tag="backend-lie"):
    """Health and load of back ends mislead for a while.

    Load reports travel in replies.  No balancer asks a health endpoint, so none is simulated.

    :ivar healthy: what the health endpoint claims; None leaves it true.
    :ivar load_factor: multiplies every load report.
    :ivar lag_s: age of every load report.
    """

    backends: tuple[str, ...]
    duration_s: float
    healthy: bool | None = None
    load_factor: float = 1.0
    lag_s: float = 0.0


class ConfigurationChange(FaultBase, frozen=True, tag="configuration-change"):
    """The operator declares a new generation that changes a label only."""


class PlatformDown(FaultBase, frozen=True, tag="platform-down"):
    """The configuration service does not answer."""

    duration_s: float


class PlatformStale(FaultBase, frozen=True, tag="platform-stale"):
    """The configuration service answers with an older generation."""

    duration_s: float
    generations: int = 1


class ConfigurationDelay(FaultBase, frozen=True, tag="configuration-delay"):
    """Some balancers get no configuration, neither from the platform nor from peers."""

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

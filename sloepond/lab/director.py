"""Applies the faults and operator actions of a scenario's timeline to a world.

Owns the active partitions and platform faults, of which several may overlap.  Relies on the world for
all machines.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from sloepond.core.events import StopRequested
from sloepond.lab import faults
from sloepond.lab.balancer import BalancerHost
from sloepond.lab.datagrams import ProcessResult
from sloepond.lab.world import World
from sloepond.resources.model import BackendState

STOP_POLL_INTERVAL_S = 0.2
"""Interval between checks whether a stopping process has ended, seconds."""


class FaultInjector:
    """Schedules and applies the faults of a timeline; see `sloepond.lab.faults`.

    :param world: a world that has not been started.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._queue = world.queue
        self._handlers: dict[type, Callable[[Any], None]] = {
            faults.Crash: self._crash,
            faults.Stop: self._stop,
            faults.RollingReplace: self._rolling_replace,
            faults.Join: self._join,
            faults.Pause: self._pause,
            faults.Partition: self._partition,
            faults.Disturb: self._disturb,
            faults.Drain: self._drain,
            faults.BackendCrash: self._backend_crash,
            faults.BackendLie: self._backend_lie,
            faults.ConfigurationChange: self._configuration_change,
            faults.PlatformDown: self._degrade_platform,
            faults.PlatformStale: self._degrade_platform,
            faults.ConfigurationDelay: self._configuration_delay,
        }
        self._platform_faults: list[faults.PlatformDown | faults.PlatformStale] = []
        self._blocked_pairs: list[set[tuple[str, str]]] = []

    def schedule(self, timeline: tuple[faults.Fault, ...]) -> None:
        """Schedule all entries of the timeline."""
        form_s = self._world.scenario.timing.form_s
        for fault in timeline:
            self._queue.schedule(form_s + fault.at, self._apply, fault)

    def _apply(self, fault: faults.Fault) -> None:
        self._handlers[type(fault)](fault)

    def _schedule_after(self, delay: float, action: Callable[[], None]) -> None:
        self._queue.schedule(self._queue.now + delay, _run_action, action)

    # Balancers

    def _hosts(self, names: tuple[str, ...]) -> list[BalancerHost]:
        """Return the balancers with these names or in halls with these names."""
        selected = set(names)
        hosts = self._world.fleet.balancers.values()
        return [host for host in hosts if host.name in selected or host.endpoint.hall in selected]

    def _crash(self, fault: faults.Crash) -> None:
        for host in self._hosts(fault.balancers):
            if host.node is None:
                continue
            self._world.note(f"{host.name} crashes")
            self._world.fleet.crash(host)
            if fault.restart_after_s is not None:
                self._schedule_after(fault.restart_after_s, partial(self._start, host))

    def _start(self, host: BalancerHost) -> None:
        if host.node is None:
            self._world.note(f"{host.name} starts")
            self._world.fleet.start(host)

    def _stop(self, fault: faults.Stop) -> None:
        for host in self._hosts(fault.balancers):
            if not self._request_stop(host):
                continue
            if fault.replace:
                self._run_when_ended(host, host.process_number, partial(self._replace, host))
            elif fault.restart:
                self._run_when_ended(host, host.process_number, partial(self._start, host))

    def _request_stop(self, host: BalancerHost) -> bool:
        """Request a stop; return False if no process runs or it is already stopping."""
        if host.node is None or host.leaving:
            return False
        self._world.note(f"{host.name} is requested to stop")
        host.leaving = True
        self._world.fleet.fabric.balancer_changed(host, present=False)
        host.receive_result(ProcessResult(host.process_number, StopRequested()))
        return True

    def _run_when_ended(self, host: BalancerHost, process_number: int, action: Callable[[], None]) -> None:
        if host.node is None or host.process_number != process_number:
            action()
        else:
            self._schedule_after(
                STOP_POLL_INTERVAL_S, partial(self._run_when_ended, host, process_number, action)
            )

    def _replace(self, host: BalancerHost) -> None:
        new = self._world.fleet.add(host.endpoint.hall)
        self._world.note(f"{new.name} starts in place of {host.name}")

    def _rolling_replace(self, fault: faults.RollingReplace) -> None:
        hosts = (
            self._hosts(fault.balancers) if fault.balancers else list(self._world.fleet.balancers.values())
        )
        self._replace_next(hosts, fault.pause_s)

    def _replace_next(self, hosts: list[BalancerHost], pause_s: float) -> None:
        if not hosts:
            return
        host = hosts[0]
        self._request_stop(host)

        def ended() -> None:
            self._replace(host)
            self._schedule_after(pause_s, partial(self._replace_next, hosts[1:], pause_s))

        self._run_when_ended(host, host.process_number, ended)

    def _join(self, fault: faults.Join) -> None:
        for _ in range(fault.count):
            host = self._world.fleet.add(fault.hall)
            self._world.note(f"{host.name} joins")

    def _pause(self, fault: faults.Pause) -> None:
        for host in self._hosts(fault.balancers):
            if host.node is None or host.paused:
                continue
            self._world.note(f"{host.name} pauses for {fault.duration_s:g} s")
            host.pause()
            self._queue.schedule(self._queue.now + fault.duration_s, host.resume, host.process_number)

    # Network

    def _partition(self, fault: faults.Partition) -> None:
        side = self._machines_on_side(fault.side, fault.backends)
        other = (
            self._machines_on_side(fault.other, fault.backends)
            if fault.other
            else self._machines_elsewhere(side, fault.backends)
        )
        pairs = {(first, second) for first in side for second in other if first != second}
        if not fault.one_way:
            pairs |= {(second, first) for first, second in pairs}
        self._world.note(f"partition: {', '.join(fault.side)} for {fault.duration_s:g} s")
        self._world.reachability.partitioned_at = self._queue.now
        self._blocked_pairs.append(pairs)
        self._world.network.blocked = set().union(*self._blocked_pairs)
        self._schedule_after(fault.duration_s, partial(self._heal, pairs))

    def _heal(self, pairs: set[tuple[str, str]]) -> None:
        self._world.note("partition heals")
        self._blocked_pairs = [kept for kept in self._blocked_pairs if kept is not pairs]
        self._world.network.blocked = set().union(*self._blocked_pairs)

    def _machines_on_side(self, names: tuple[str, ...], backends: bool) -> set[str]:
        selected = set(names)
        side = {host.name for host in self._hosts(names)}
        for host in self._world.backends.values():
            in_hall = backends and host.endpoint.hall in selected
            if in_hall or host.name in selected:
                side.add(host.name)
        return side

    def _machines_elsewhere(self, side: set[str], backends: bool) -> set[str]:
        rest = set(self._world.fleet.balancers)
        if backends:
            rest |= set(self._world.backends)
        return rest - side

    def _disturb(self, fault: faults.Disturb) -> None:
        network = self._world.network
        self._world.note(f"links lose {fault.loss:.0%} for {fault.duration_s:g} s")
        network.disturb(fault.loss, fault.duplicate, fault.reorder)
        self._schedule_after(fault.duration_s, network.reset_disturbance)

    # Back ends

    def _drain(self, fault: faults.Drain) -> None:
        self._declare_state(fault.backends, BackendState.DRAINING)
        if fault.notice:
            self._set_draining(fault.backends, True)
        if fault.restore_after_s is not None:
            self._schedule_after(fault.restore_after_s, partial(self._restore, fault.backends))

    def _restore(self, backends: tuple[str, ...]) -> None:
        self._set_draining(backends, False)
        self._declare_state(backends, BackendState.ACTIVE)

    def _declare_state(self, backends: tuple[str, ...], state: BackendState) -> None:
        self._world.note(f"{', '.join(backends)} declared {state.value}")
        self._world.declaration.set_state(backends, state)
        self._world.publish()

    def _set_draining(self, backends: tuple[str, ...], draining: bool) -> None:
        for name in backends:
            model = self._world.backends[name].model
            if model is not None:
                model.draining = draining

    def _backend_crash(self, fault: faults.BackendCrash) -> None:
        for name in fault.backends:
            host = self._world.backends[name]
            if host.model is None:
                continue
            self._world.note(f"{name} crashes")
            host.kill()
            self._schedule_after(fault.restart_after_s, partial(self._start_backend, name))

    def _start_backend(self, name: str) -> None:
        self._world.note(f"{name} starts")
        self._world.backends[name].start()

    def _backend_lie(self, fault: faults.BackendLie) -> None:
        for name in fault.backends:
            self._world.note(f"{name} reports a wrong load for {fault.duration_s:g} s")
            host = self._world.backends[name]
            host.set_load_report(fault.load_factor, fault.lag_s)
            self._schedule_after(fault.duration_s, partial(host.set_load_report, 1.0, 0.0))

    # Configuration

    def _configuration_change(self, fault: faults.ConfigurationChange) -> None:
        self._world.declaration.change_label()
        self._world.publish()

    def _degrade_platform(self, fault: faults.PlatformDown | faults.PlatformStale) -> None:
        state = "down" if isinstance(fault, faults.PlatformDown) else "stale"
        self._world.note(f"configuration service {state} for {fault.duration_s:g} s")
        self._platform_faults.append(fault)
        self._update_platform()
        self._schedule_after(fault.duration_s, partial(self._restore_platform, fault))

    def _restore_platform(self, fault: faults.PlatformDown | faults.PlatformStale) -> None:
        self._platform_faults = [kept for kept in self._platform_faults if kept is not fault]
        self._update_platform()

    def _update_platform(self) -> None:
        platform = self._world.platform
        stale = [
            fault.generations for fault in self._platform_faults if isinstance(fault, faults.PlatformStale)
        ]
        platform.down = len(stale) < len(self._platform_faults)
        platform.stale_generations = max(stale, default=0)
        if self._platform_faults:
            self._world.platform_serving_stopped()
        else:
            self._world.note("configuration service serves the latest generation")
            self._world.platform_serving_resumed()

    def _configuration_delay(self, fault: faults.ConfigurationDelay) -> None:
        hosts = self._hosts(fault.balancers)
        names = ", ".join(sorted(host.name for host in hosts))
        self._world.note(f"no configuration reaches {names} for {fault.duration_s:g} s")
        self._block_configuration(hosts, 1)
        self._schedule_after(fault.duration_s, partial(self._block_configuration, hosts, -1))

    def _block_configuration(self, hosts: list[BalancerHost], change: int) -> None:
        for host in hosts:
            host.configuration_blocks += change


def _run_action(action: Callable[[], None]) -> None:
    action()

"""Probes of back ends: one answer or one timeout for each."""

from __future__ import annotations

import msgspec

from sloepond.core.events import BackendProbed
from sloepond.lab.backend import BackendHost
from sloepond.lab.balancer import BalancerHost
from sloepond.lab.engine import EventQueue
from sloepond.lab.network import Network


class _Probe(msgspec.Struct, frozen=True, eq=False):
    """A probe under way, of one process of `host`."""

    number: int
    host: BalancerHost
    process: int
    backend: str
    target: BackendHost | None


class _ProbeAnswer(msgspec.Struct, frozen=True, eq=False):
    """What a health endpoint answered to a probe."""

    number: int
    event: BackendProbed


class Probing:
    """Carries probes over the network; a balancer hears of each one exactly once."""

    def __init__(self, queue: EventQueue, network: Network, timeout_s: float) -> None:
        self._queue = queue
        self._network = network
        self._timeout_s = timeout_s
        self._number = 0
        self._pending: dict[int, _Probe] = {}

    def start(self, host: BalancerHost, backend: str, target: BackendHost | None) -> None:
        """Probe `backend`, which runs on `target`, None where nothing has its address."""
        self._number += 1
        probe = _Probe(self._number, host, host.process, backend, target)
        self._pending[probe.number] = probe
        self._queue.schedule(self._queue.now + self._timeout_s, self._timed_out, probe)
        if target is not None:
            self._network.transmit(host.endpoint, target.endpoint, self._arrived, probe, False)

    def _arrived(self, probe: _Probe) -> None:
        target = probe.target
        report = target.report() if target is not None else None
        if target is None or report is None:
            return
        load, healthy = report
        answer = _ProbeAnswer(probe.number, BackendProbed(probe.backend, load, healthy))
        self._network.transmit(target.endpoint, probe.host.endpoint, self._answered, answer, False)

    def _answered(self, answer: _ProbeAnswer) -> None:
        probe = self._pending.pop(answer.number, None)
        if probe is not None:
            probe.host.receive_result((probe.process, answer.event))

    def _timed_out(self, probe: _Probe) -> None:
        if self._pending.pop(probe.number, None) is not None:
            event = BackendProbed(probe.backend, None, False)
            probe.host.receive_result((probe.process, event))

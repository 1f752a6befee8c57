"""Back ends: packets of their own service only, from permitted places only, no new work when leaving.

Owns what the operator has declared about each back end, and since when.  Relies on seeing every
packet that reaches a back end.
"""

from __future__ import annotations

from sloepond.core.packets import BackendPacket
from sloepond.lab.checkers.violations import Promise, ViolationLog
from sloepond.resources.compiled import CompiledConfiguration


class PlaceChecker:
    """Checks each packet that reaches a back end.

    :ivar maximum_new_work_delay_s: longest time after the declaration of a drain at which
        a back end was still given a new flow, in seconds.
    """

    DECLARATION_GRACE_S = 5.0
    """Seconds after a generation is published during which the former one may rule."""

    def __init__(self, log: ViolationLog) -> None:
        self._log = log
        self._permitted_until: dict[str, float] = {}
        self._service_of: dict[str, str] = {}
        self._draining_since: dict[str, float] = {}
        self.maximum_new_work_delay_s = 0.0

    def generation_published(self, configuration: CompiledConfiguration, now: float) -> None:
        """The operator has declared a generation."""
        for name, backend in configuration.backends_by_name.items():
            service = configuration.services_by_name[backend.service]
            self._service_of[name] = service.address
            if backend.permitted:
                self._permitted_until[name] = float("inf")
            elif self._permitted_until.get(name) == float("inf"):
                self._permitted_until[name] = now + self.DECLARATION_GRACE_S
            self._update_drain(name, backend.accepts_new_flows, now)
        for name in self._service_of.keys() - configuration.backends_by_name.keys():
            self._update_drain(name, False, now)

    def serving_stopped(self, now: float) -> None:
        """The platform stopped serving; drains it has just declared may be unknown until it is back."""
        for name, since in self._draining_since.items():
            if now - since < self.DECLARATION_GRACE_S:
                self._draining_since[name] = float("inf")

    def serving_resumed(self, now: float) -> None:
        """The platform serves the latest generation again."""
        for name, since in self._draining_since.items():
            if since > now:
                self._draining_since[name] = now

    def _update_drain(self, name: str, accepts_new_flows: bool, now: float) -> None:
        if accepts_new_flows:
            self._draining_since.pop(name, None)
        else:
            self._draining_since.setdefault(name, now)

    def packet_arrived(self, backend: str, packet: BackendPacket, is_new_flow: bool, now: float) -> None:
        """A packet reached `backend`.

        :param is_new_flow: whether it opens a flow the back end did not hold.
        """
        if packet.flow.service_address != self._service_of.get(backend):
            detail = f"packet for {packet.flow.service_address} reached {backend}"
            self._log.add(Promise.MISROUTED_PACKETS, now, detail)
        if is_new_flow:
            self._check_new_flow(backend, now)

    def _check_new_flow(self, backend: str, now: float) -> None:
        if now > self._permitted_until.get(backend, -1.0):
            self._log.add(Promise.PLACE_VIOLATIONS, now, f"new flow at {backend}, a place not permitted")
        since = self._draining_since.get(backend)
        if since is None or backend not in self._permitted_until:
            return
        delay_s = now - since
        if delay_s > self.maximum_new_work_delay_s:
            self.maximum_new_work_delay_s = delay_s
        if delay_s > self.DECLARATION_GRACE_S:
            detail = f"new flow at {backend}, {delay_s:.2f} s after it was declared draining"
            self._log.add(Promise.NEW_WORK_AFTER_DRAIN, now, detail)

"""Back ends: packets of their own service only, new flows only in permitted places and not while draining.

Owns the declared service, permission and drain of each back end, with their times.  Relies on its user
to pass every packet that reaches a back end.
"""

from __future__ import annotations

from sloepond.core.packets import BackendPacket
from sloepond.lab.checkers.violations import Promise, ViolationLog
from sloepond.resources.compiled import CompiledConfiguration


class PlaceChecker:
    """Checks each packet that reaches a back end.

    :ivar maximum_new_work_delay_s: maximum time from the declaration of a drain to a new flow
        at the back end, seconds.
    """

    DECLARATION_GRACE_S = 5.0
    """Seconds after the publication of a generation during which the previous one may still be in force."""

    def __init__(self, log: ViolationLog) -> None:
        self._log = log
        self._permitted_until: dict[str, float] = {}
        self._service_of: dict[str, str] = {}
        self._draining_since: dict[str, float] = {}
        self.maximum_new_work_delay_s = 0.0

    def generation_published(self, configuration: CompiledConfiguration, now: float) -> None:
        """Record a generation that the operator declared."""
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
        """Suspend drains declared within the grace period: balancers may miss them until serving resumes."""
        for name, since in self._draining_since.items():
            if now - since < self.DECLARATION_GRACE_S:
                self._draining_since[name] = float("inf")

    def serving_resumed(self, now: float) -> None:
        """Resume suspended drains: the platform serves the latest generation again."""
        for name, since in self._draining_since.items():
            if since > now:
                self._draining_since[name] = now

    def _update_drain(self, name: str, accepts_new_flows: bool, now: float) -> None:
        if accepts_new_flows:
            self._draining_since.pop(name, None)
        else:
            self._draining_since.setdefault(name, now)

    def packet_arrived(self, backend: str, packet: BackendPacket, is_new_flow: bool, now: float) -> None:
        """Check a packet that reached `backend`.

        :param is_new_flow: whether it opens a flow that the back end did not hold.
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

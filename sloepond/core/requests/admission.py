"""What the declared service says of a request: repeatable, time limit, room."""

from __future__ import annotations

from sloepond.core.packets import CallerPacket
from sloepond.core.requests.store import RequestStore
from sloepond.core.routing.state import RoutingState
from sloepond.resources.compiled import CompiledService

_MILLISECONDS = 1000.0


class Admission:
    """Applies the limits of the service in force to requests."""

    __slots__ = ("_state", "_store")

    def __init__(self, state: RoutingState, store: RequestStore) -> None:
        self._state = state
        self._store = store

    def _service_of(self, packet: CallerPacket) -> CompiledService | None:
        services = self._state.configuration.in_force.services_by_address
        return services.get(packet.flow.service_address)

    def is_repeatable(self, packet: CallerPacket) -> bool:
        """Return whether a request may run more than once; the caller's word goes first."""
        if packet.repeatable is not None:
            return packet.repeatable
        service = self._service_of(packet)
        return service is not None and service.spec.repeatable_by_default

    def deadline_of(self, packet: CallerPacket) -> float:
        """Return when a request arriving now is to end, in seconds."""
        return self._state.context.now + self._timeout_ms(packet) / _MILLISECONDS

    def _timeout_ms(self, packet: CallerPacket) -> int:
        service = self._service_of(packet)
        limit = service.limits.request_timeout_ms if service is not None else 0
        if packet.timeout_ms <= 0:
            return limit
        return min(packet.timeout_ms, limit) if limit else packet.timeout_ms

    def is_over_limit(self, packet: CallerPacket) -> bool:
        """Return whether the service has more requests in flight here than declared."""
        service = self._service_of(packet)
        if service is None:
            return False
        return self._store.count_of(service.address) > service.limits.requests_in_flight

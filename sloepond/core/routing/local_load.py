"""Work this balancer itself has at back ends, counted as it is given out."""

from __future__ import annotations


class LocalBackendLoad:
    """Open flows and requests in flight by back end name."""

    __slots__ = ("_flows", "_requests")

    def __init__(self) -> None:
        self._flows: dict[str, int] = {}
        self._requests: dict[str, int] = {}

    def open_flows(self, backend_name: str) -> int:
        """Return the flows placed or taken over by this balancer at a back end."""
        return self._flows.get(backend_name, 0)

    def in_flight(self, backend_name: str) -> int:
        """Return the requests handed over to a back end and not yet ended."""
        return self._requests.get(backend_name, 0)

    def flow_added(self, backend_name: str) -> None:
        """Count one flow more."""
        self._flows[backend_name] = self._flows.get(backend_name, 0) + 1

    def flow_removed(self, backend_name: str) -> None:
        """Count one flow less."""
        self._flows[backend_name] -= 1

    def request_added(self, backend_name: str) -> None:
        """Count one request more."""
        self._requests[backend_name] = self._requests.get(backend_name, 0) + 1

    def request_removed(self, backend_name: str) -> None:
        """Count one request less."""
        self._requests[backend_name] -= 1

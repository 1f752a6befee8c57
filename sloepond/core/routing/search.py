"""Finding the back end of an established flow that no replica knows any more.

The last resort after several replicas were lost at once: the back ends
themselves know which flows they hold.  Each permitted back end of the service
is asked with a packet that carries no data and starts nothing, the hash choice
among them; the one that holds the flow says so.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from sloepond.core.commands import SendToBackend
from sloepond.core.packets import BackendPacket, CallerPacketKind, FlowKey
from sloepond.core.routing.state import RoutingState
from sloepond.resources.compiled import CompiledBackend

_ATTEMPTS = 3
_SEARCH_REQUEST_ID = 0


class SearchOutcome(enum.Enum):
    """How a search ended."""

    FOUND = "found"
    LOST = "lost"
    """Every back end said that it does not hold the flow."""
    UNDECIDED = "undecided"
    """Some back end did not answer."""


SearchCallback = Callable[[SearchOutcome, CompiledBackend | None], None]


class _PendingSearch:
    __slots__ = ("attempts", "awaited", "callbacks", "key")

    def __init__(self, key: FlowKey, awaited: dict[str, CompiledBackend]) -> None:
        self.key = key
        self.awaited = awaited
        self.callbacks: list[SearchCallback] = []
        self.attempts = 0


class BackendSearch:
    """Searches in progress, one a flow."""

    __slots__ = ("_pending", "_state")

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._pending: dict[FlowKey, _PendingSearch] = {}

    def is_searching(self, key: FlowKey) -> bool:
        """Return whether a search for a flow is in progress."""
        return key in self._pending

    def start(self, key: FlowKey, callback: SearchCallback) -> None:
        """Search the back end of a flow; searches of the same flow are shared."""
        pending = self._pending.get(key)
        if pending is not None:
            pending.callbacks.append(callback)
            return
        pending = _PendingSearch(key, self._candidates(key))
        pending.callbacks.append(callback)
        self._pending[key] = pending
        if pending.awaited:
            self._send(pending)
        else:
            self._conclude(pending, SearchOutcome.LOST, None)

    def _candidates(self, key: FlowKey) -> dict[str, CompiledBackend]:
        configuration = self._state.configuration.in_force
        service = configuration.services_by_address.get(key.service_address)
        if service is None:
            return {}
        return {backend.address: backend for backend in service.backends if backend.permitted}

    def _send(self, pending: _PendingSearch) -> None:
        context = self._state.context
        for address in pending.awaited:
            packet = BackendPacket(CallerPacketKind.KEEPALIVE, pending.key, _SEARCH_REQUEST_ID)
            context.emit(SendToBackend(address, packet))
        pending.attempts += 1
        wait = self._state.settings.routing.search_timeout_s
        self._state.timers.schedule(context.now + wait, self._timed_out, pending)

    def _timed_out(self, pending: _PendingSearch) -> None:
        if self._pending.get(pending.key) is not pending:
            return
        if pending.attempts >= _ATTEMPTS:
            self._conclude(pending, SearchOutcome.UNDECIDED, None)
        else:
            self._send(pending)

    def held_by(self, key: FlowKey, address: str) -> bool:
        """Take a back end's word that it holds a flow; True if that was searched for."""
        pending = self._pending.get(key)
        if pending is None or address not in pending.awaited:
            return False
        self._conclude(pending, SearchOutcome.FOUND, pending.awaited[address])
        return True

    def not_held_by(self, key: FlowKey, address: str) -> bool:
        """Take a back end's word that it does not hold a flow."""
        pending = self._pending.get(key)
        if pending is None:
            return False
        pending.awaited.pop(address, None)
        if not pending.awaited:
            self._conclude(pending, SearchOutcome.LOST, None)
        return True

    def _conclude(
        self, pending: _PendingSearch, outcome: SearchOutcome, backend: CompiledBackend | None
    ) -> None:
        del self._pending[pending.key]
        for callback in pending.callbacks:
            callback(outcome, backend)

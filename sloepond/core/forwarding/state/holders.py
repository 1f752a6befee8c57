"""Assigns each routing token and each address to at most one back end.

Owns: the holder of each token and of each address, and the back ends that wait for a token.  Relies on:
`BackendDirectory`, which adds and removes back ends.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backend_records import BackendState, Endpoint


class TokenHolders:
    """Back ends by token.

    If two back ends have the same token, the one added first holds it.  The other waits, without new flows,
    until the first is removed, so a token always identifies one back end.
    """

    def __init__(self) -> None:
        self._holders: dict[int, ForwardingBackend] = {}
        self._waiting: dict[str, ForwardingBackend] = {}

    def holder(self, token: int) -> ForwardingBackend | None:
        """Return the back end that holds a token."""
        return self._holders.get(token)

    def is_waiting(self, backend: ForwardingBackend) -> bool:
        """Return whether another back end holds the token of a back end."""
        return backend.name in self._waiting

    def add(self, backend: ForwardingBackend) -> None:
        """Assign a back end its token, or let it wait if the token is held."""
        if self._holders.setdefault(backend.token, backend) is not backend:
            self._waiting[backend.name] = backend

    def remove(self, backend: ForwardingBackend) -> ForwardingBackend | None:
        """Remove a back end; return the one that now holds its token, None if none waited."""
        self._waiting.pop(backend.name, None)
        if self._holders.get(backend.token) is not backend:
            return None
        del self._holders[backend.token]
        for name in sorted(self._waiting):
            successor = self._waiting[name]
            if successor.token == backend.token:
                del self._waiting[name]
                self._holders[successor.token] = successor
                return successor
        return None


class EndpointHolders:
    """The back end that is presumably alive at each address.

    An address may be reused after a back end has ended.  Of two back ends at one address, the one that has
    ended accepts no connection any more, whatever its listed state, so its flows are reset.
    """

    def __init__(self) -> None:
        self._live: dict[Endpoint, ForwardingBackend] = {}

    def update_holder(self, backend: ForwardingBackend) -> None:
        """Update the holder of the address of a back end that is new or has departed.

        If two back ends have the same address, the flows of the ended one are reset from now on.
        """
        other = self._live.setdefault(backend.endpoint, backend)
        if other is backend:
            return
        ended = _ended(backend, other)
        if ended is not None:
            ended.unreachable_until = NEVER
            self._live[backend.endpoint] = other if ended is backend else backend

    def remove(self, backend: ForwardingBackend) -> None:
        """Remove a back end if it holds its address."""
        if self._live.get(backend.endpoint) is backend:
            del self._live[backend.endpoint]


def _ended(one: ForwardingBackend, other: ForwardingBackend) -> ForwardingBackend | None:
    """Return which of two back ends at one address has ended, None if unknown."""
    is_one_departed = one.state is BackendState.DEPARTED
    is_other_departed = other.state is BackendState.DEPARTED
    if is_one_departed is not is_other_departed:
        return one if is_one_departed else other
    if is_one_departed:
        return None
    return one if one.revision < other.revision else other

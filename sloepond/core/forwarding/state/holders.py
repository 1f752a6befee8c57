"""Which back end holds a routing token, and which one an address: only one can hold each.

Owns: the holder of each token and of each address, and the back ends that wait for a token.  Relies on:
`BackendDirectory`, which adds and removes back ends.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backend_records import BackendState, Endpoint


class TokenHolders:
    """Back ends by token.

    Two back ends with one token: the one known first holds it; the other waits, and is given no flow,
    until the first is removed, so a token always means one of them.
    """

    def __init__(self) -> None:
        self._holders: dict[int, ForwardingBackend] = {}
        self._waiting: dict[str, ForwardingBackend] = {}

    def holder(self, token: int) -> ForwardingBackend | None:
        """Return the back end whose flows carry a token."""
        return self._holders.get(token)

    def is_waiting(self, backend: ForwardingBackend) -> bool:
        """Tell whether another back end holds the token."""
        return backend.name in self._waiting

    def add(self, backend: ForwardingBackend) -> None:
        """Give a back end its token, or let it wait."""
        if self._holders.setdefault(backend.token, backend) is not backend:
            self._waiting[backend.name] = backend

    def remove(self, backend: ForwardingBackend) -> ForwardingBackend | None:
        """Forget a back end; return the one that has its token now, None where none waited."""
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
    """The back end that lives at each address, as far as is known.

    An address is used again after a back end has ended.  The one of two that has ended accepts no
    connection any more, whatever else is known of it, so its flows are reset.
    """

    def __init__(self) -> None:
        self._live: dict[Endpoint, ForwardingBackend] = {}

    def resolve_conflict(self, backend: ForwardingBackend) -> None:
        """Take a back end that is new or has departed; of two at one address, mark the ended one."""
        other = self._live.setdefault(backend.endpoint, backend)
        if other is backend:
            return
        ended = _ended(backend, other)
        if ended is not None:
            ended.unreachable_until = NEVER
            self._live[backend.endpoint] = other if ended is backend else backend

    def remove(self, backend: ForwardingBackend) -> None:
        """Forget a back end."""
        if self._live.get(backend.endpoint) is backend:
            del self._live[backend.endpoint]


def _ended(one: ForwardingBackend, other: ForwardingBackend) -> ForwardingBackend | None:
    """Return which of two back ends with one address has ended, None where that is not known."""
    is_one_departed = one.state is BackendState.DEPARTED
    is_other_departed = other.state is BackendState.DEPARTED
    if is_one_departed is not is_other_departed:
        return one if is_one_departed else other
    if is_one_departed:
        return None
    return one if one.revision < other.revision else other

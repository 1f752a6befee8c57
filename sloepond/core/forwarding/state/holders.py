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

    If two back ends have the same token, one whose service a configuration has named takes precedence, since
    other programs may write entries with any id.  Of two such, the one added first holds the token.  The
    others wait, without new flows, until it is removed, so a token always identifies one back end.  If the
    service of none is named, none holds the token, since nothing shows which back end it means.
    """

    def __init__(self) -> None:
        self._holders: dict[int, ForwardingBackend] = {}
        self._waiting: dict[int, dict[str, ForwardingBackend]] = {}

    def holder(self, token: int) -> ForwardingBackend | None:
        """Return the back end that holds a token."""
        return self._holders.get(token)

    def is_waiting(self, backend: ForwardingBackend) -> bool:
        """Return whether a back end waits for its token."""
        return backend.name in self._waiting.get(backend.token, ())

    def add(self, backend: ForwardingBackend) -> bool:
        """Assign a back end its token, or let it wait; return whether several back ends have the token."""
        token = backend.token
        if token not in self._holders and token not in self._waiting:
            self._holders[token] = backend
            return False
        self._waiting.setdefault(token, {})[backend.name] = backend
        self._assign(token)
        return True

    def service_named(self, backend: ForwardingBackend) -> None:
        """Record that the service of a back end is named now."""
        if self.is_waiting(backend):
            self._assign(backend.token)

    def remove(self, backend: ForwardingBackend) -> ForwardingBackend | None:
        """Remove a back end; return the one that now holds its token, None if none waited."""
        token = backend.token
        if self._holders.get(token) is backend:
            del self._holders[token]
        waiting = self._waiting.get(token)
        if waiting is None:
            return None
        waiting.pop(backend.name, None)
        self._assign(token)
        return self._holders.get(token)

    def _assign(self, token: int) -> None:
        """Let the back end with the best claim hold a token for which others wait."""
        holder = self._holders.get(token)
        waiting = self._waiting[token]
        if holder is not None and not holder.is_named:
            del self._holders[token]
            waiting[holder.name] = holder
            holder = None
        successor = holder or _best_claim(waiting)
        if successor is not None:
            self._holders[token] = successor
            waiting.pop(successor.name, None)
        if not waiting:
            del self._waiting[token]


def _best_claim(waiting: dict[str, ForwardingBackend]) -> ForwardingBackend | None:
    """Return which of the back ends that wait for a token may hold it, None if nothing shows that."""
    if len(waiting) == 1:
        return next(iter(waiting.values()))
    named = sorted(name for name, backend in waiting.items() if backend.is_named)
    return waiting[named[0]] if named else None


class EndpointHolders:
    """The back end that is presumably alive at each address.

    An address may be reused after a back end has ended.  Of two back ends at one address, the one that has
    ended accepts no connection any more, whatever its listed state, so its flows are reset.  Only back ends
    whose service a configuration has named are added: an entry of another program may name any address.
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

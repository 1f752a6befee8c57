"""Which back end a routing token means.

Owns: the holder of each token, and the back ends that wait for a token that another one holds.  Relies on:
`BackendDirectory`, which adds and removes back ends.
"""

from __future__ import annotations

from sloepond.core.forwarding.state.backend import ForwardingBackend


class TokenTable:
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
            heir = self._waiting[name]
            if heir.token == backend.token:
                del self._waiting[name]
                self._holders[heir.token] = heir
                return heir
        return None

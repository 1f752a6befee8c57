"""Which back end stands at an address.

An address is used again after a back end has ended.  The one of two that has ended accepts no connection
any more, whatever is known of it otherwise, so its flows are reset.

Owns: the back end at each address.  Relies on: `BackendDirectory`, which adds and removes back ends.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backend_records import BackendState, Endpoint


class EndpointTable:
    """The back end that lives at each address, as far as is known."""

    def __init__(self) -> None:
        self._living: dict[Endpoint, ForwardingBackend] = {}

    def settle(self, backend: ForwardingBackend) -> None:
        """Take a back end that is new or has departed; of two at one address, mark the ended one."""
        other = self._living.setdefault(backend.endpoint, backend)
        if other is backend:
            return
        ended = _ended(backend, other)
        if ended is not None:
            ended.unreachable_until = NEVER
            self._living[backend.endpoint] = other if ended is backend else backend

    def remove(self, backend: ForwardingBackend) -> None:
        """Forget a back end."""
        if self._living.get(backend.endpoint) is backend:
            del self._living[backend.endpoint]


def _ended(one: ForwardingBackend, other: ForwardingBackend) -> ForwardingBackend | None:
    """Return which of two back ends with one address has ended, None where that is not known."""
    is_one_departed = one.state is BackendState.DEPARTED
    is_other_departed = other.state is BackendState.DEPARTED
    if is_one_departed is not is_other_departed:
        return one if is_one_departed else other
    if is_one_departed:
        return None
    return one if one.revision < other.revision else other

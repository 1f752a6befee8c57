"""The data path: decides what happens to each packet of a caller.

`opening` chooses a back end for an opening packet.  Every other packet carries the routing token of its back
end, so every balancer forwards it to the same back end without any state of the flow.
Owns: no state.  Relies on: the list of back ends, the flow observer and `Openings`.
"""

from __future__ import annotations

from sloepond.core.forwarding.load.flow_observer import FlowObserver
from sloepond.core.forwarding.packets import Refusal, Segment
from sloepond.core.forwarding.placement.opening import Openings
from sloepond.core.forwarding.state.backend import NO_TOKEN, Decision
from sloepond.core.forwarding.state.backends import BackendDirectory

_NO_TOKEN = Decision(refusal=Refusal.NO_TOKEN)
_UNKNOWN_TOKEN = Decision(refusal=Refusal.UNKNOWN_TOKEN, lookup=True)
_UNREACHABLE = Decision(refusal=Refusal.UNREACHABLE, reset=True)


class Forwarder:
    """Decides on packets, without side effects other than counts.

    :ivar observer: counts the flows and requests of the packets.
    :ivar openings: decides on opening packets.
    """

    def __init__(self, backends: BackendDirectory, observer: FlowObserver, openings: Openings) -> None:
        self._backends = backends
        self.observer = observer
        self.openings = openings

    def decide(self, segment: Segment, now: float) -> Decision:
        """Apply the rules for a packet of an open flow in their order.

        1. `Openings.decide` handles opening packets.
        2. No back end has the packet's token: a packet without a token is refused; otherwise peers are asked
           for the token.  They are asked once too if no configuration has named the service of the one that
           has it: the entry may be one of another program under the id of a back end.
        3. The back end is unreachable: the flow is reset, so that its caller opens another one.
        4. The packet is forwarded.  If the back end may be gone, it is checked as well.

        :param now: seconds of a monotonic clock.
        """
        if segment.is_opening:
            return self.openings.decide(segment, now)
        backend = self._backends.by_token(segment.token)
        if backend is None:
            return _NO_TOKEN if segment.token == NO_TOKEN else _UNKNOWN_TOKEN
        if not backend.is_named and self._backends.must_be_looked_up(backend):
            return _UNKNOWN_TOKEN
        if backend.is_unreachable(now):
            return _UNREACHABLE
        is_repeated = self.observer.observe_packet(segment, backend, now)
        if is_repeated or backend.suspected_until > now or backend.departed_unannounced:
            return backend.decision_with_check
        return backend.decision

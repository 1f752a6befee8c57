"""The data path: what becomes of each packet of a caller.

An opening packet is given a back end (`opening`).  Every other packet names its back end by
the routing token it carries, so any balancer forwards it alike, whatever it knows of the flow.
Owns no state; relies on the list of back ends, the observer of flows and the openings.
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
    """Decides on packets; pure but for what it counts.

    :ivar observer: counts flows and requests of the packets decided on.
    :ivar openings: decides on opening packets.
    """

    def __init__(self, backends: BackendDirectory, observer: FlowObserver, openings: Openings) -> None:
        self._backends = backends
        self.observer = observer
        self.openings = openings

    def decide(self, segment: Segment, now: float) -> Decision:
        """Apply the rules for a packet of an open flow in their order.

        1. An opening packet is `Openings.decide`'s.
        2. No back end has the token: without a token it is refused, else peers are asked for it.
        3. The back end is gone: the caller's flow is reset, so that it opens another one.
        4. It is forwarded; where there is reason to suspect that the back end is gone, that is checked.

        :param now: seconds of a monotonic clock.
        """
        if segment.is_opening:
            return self.openings.decide(segment, now)
        backend = self._backends.by_token(segment.token)
        if backend is None:
            return _NO_TOKEN if segment.token == NO_TOKEN else _UNKNOWN_TOKEN
        if backend.is_unreachable(now):
            return _UNREACHABLE
        is_repeated = self.observer.observe_packet(segment, backend, now)
        if is_repeated or backend.suspected_until > now or backend.departed_unannounced:
            return backend.suspicious_decision
        return backend.decision

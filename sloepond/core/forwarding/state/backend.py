"""One incarnation of a back end as the data path uses it, and the decisions about packets.

Owns: the state and the observations of the back end.  Relies on: `BackendDirectory` to keep it, and `load`
and `health` to update their observations.
"""

from __future__ import annotations

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.load.latency_estimate import LatencyEstimate
from sloepond.core.forwarding.packets import Refusal
from sloepond.core.forwarding.peers.messages import KnownBackend
from sloepond.core.forwarding.state.backend_records import BackendRecord, BackendState, Endpoint

TOKEN_BITS = 32
"""Size of a routing token in bits, given by the packet format of the platform."""
TOKEN_MASK = (1 << TOKEN_BITS) - 1
"""Mask of the bits of a token."""
NO_TOKEN = 0
"""Token field of packets that carry no token."""


class Decision(msgspec.Struct, frozen=True):
    """Decision about a packet.

    :ivar backend: back end to forward it to; None if it is not forwarded.
    :ivar refusal: why it is not forwarded.
    :ivar reset: whether the caller is sent a reset at once.
    :ivar lookup: whether the token is looked up at peers before the packet is dropped.
    :ivar queue: whether the opening packet is queued, until it can be placed or there is spare capacity.
    :ivar suspect: name of a back end that may be gone and should be checked.
    """

    backend: ForwardingBackend | None = None
    refusal: Refusal | None = None
    reset: bool = False
    lookup: bool = False
    queue: bool = False
    suspect: str = ""


class ForwardingBackend:
    """One incarnation of a back end; each start under the same id is a new one.

    :ivar token: routing token, never 0.
    :ivar prefix: identity sent in front of each packet (8 bytes), so that another
        back end at the same address does not accept it.
    :ivar warm_at: time at which its cold start ends.
    :ivar departed_at: time at which it was found missing in the list.
    :ivar announced_leaving: whether it has announced that it is leaving.
    :ivar is_named: whether a configuration has named its service since it is known here.
    :ivar is_looked_up: whether peers were asked if its token is that of another back end.
    :ivar flows: flows opened through this balancer and not closed.
    :ivar in_flight: requests forwarded by this balancer and not yet answered.
    :ivar latency: estimate of its response time.
    :ivar decision: the decision to forward to it.
    :ivar decision_with_check: the decision to forward to it and to check whether it is gone.
    :ivar avoided_until: time until which it is chosen only if there is no other, since it may not answer.
    :ivar checked_at: when it was last checked.
    :ivar suspected_until: time until which packets to it start a check, because a peer could not reach it.
    :ivar unreachable_until: time until which its flows are reset.
    :ivar ejected_until: time until which it is given no new flow, for requests left unanswered.
    :ivar probation_until: time until which it is given few new flows after the ejection.
    """

    __slots__ = (
        "name", "number", "service", "endpoint", "hall", "slots", "state", "token", "prefix",
        "warm_at", "departed_at", "announced_leaving", "is_named", "is_looked_up", "revision", "flows",
        "in_flight",
        "avoided_until", "token_bytes", "decision", "decision_with_check", "checked_at",
        "suspected_until", "unreachable_until", "latency",
        "ejected_until", "probation_until",
    )  # fmt: skip

    def __init__(self, record: BackendRecord, now: float) -> None:
        self.name = record.name
        self.number = record.number
        self.service = record.service
        self.endpoint = Endpoint(record.host, record.port)
        self.token = token_of(record.number)
        self.token_bytes = self.token.to_bytes(4, "big")
        self.prefix = record.number.to_bytes(8, "big")
        self.decision = Decision(self)
        self.decision_with_check = Decision(self, suspect=record.name)
        self.checked_at = -NEVER
        self.suspected_until = 0.0
        self.unreachable_until = 0.0
        self.ejected_until = 0.0
        self.probation_until = 0.0
        self.flows = 0
        self.in_flight = 0
        self.latency = LatencyEstimate()
        self.avoided_until = 0.0
        self.warm_at = 0.0
        self.departed_at = now
        self.announced_leaving = False
        self.is_named = False
        self.is_looked_up = False
        self.update(record, now)

    def update(self, record: BackendRecord, now: float) -> None:
        """Apply a newer record of the back end."""
        self.slots = max(1, record.slots)
        self.hall = record.hall
        self.state = record.state
        if record.state is BackendState.LEAVING:
            self.announced_leaving = True
        self.warm_at = max(self.warm_at, now + record.cold_s)
        self.revision = record.revision
        self.suspected_until = 0.0
        self.unreachable_until = 0.0

    def is_other_incarnation(self, record: BackendRecord) -> bool:
        """Return whether a record is of another incarnation: its name, address or service differs."""
        is_elsewhere = (record.host, record.port) != self.endpoint or record.service != self.service
        return record.name != self.name or is_elsewhere

    def is_superseded_by(self, record: BackendRecord) -> bool:
        """Return whether a record of this incarnation is newer than the state held.

        An incarnation that has announced that it is leaving stays leaving.  One that was only missing in the
        list may return: its entry can expire while it is alive.
        """
        if record.revision <= self.revision:
            return False
        return not (self.announced_leaving and record.state is BackendState.READY)

    def is_unreachable(self, now: float) -> bool:
        """Return whether its flows are reset."""
        return self.unreachable_until > now

    @property
    def departed_unannounced(self) -> bool:
        """Whether it has left the list without announcing it."""
        return self.state is BackendState.DEPARTED and not self.announced_leaving

    def departed_s(self, now: float) -> float:
        """Return seconds since it left the list, 0 if it is listed."""
        return now - self.departed_at if self.state is BackendState.DEPARTED else 0.0

    def to_known_backend(self, now: float) -> KnownBackend:
        """Return the state of this back end as it is sent to peers."""
        return KnownBackend(self.record(now), self.departed_s(now), self.announced_leaving)

    def record(self, now: float) -> BackendRecord:
        """Return a list record of this back end, with its local state."""
        return BackendRecord(
            self.name,
            self.number,
            self.service,
            self.endpoint.host,
            self.endpoint.port,
            self.hall,
            self.slots,
            self.state,
            max(0.0, self.warm_at - now),
            self.revision,
        )


def token_of(number: int) -> int:
    """Return the routing token of an identity: 32 bits, the same on all balancers, never 0."""
    folded = (number ^ number >> TOKEN_BITS) & TOKEN_MASK
    return folded or TOKEN_MASK

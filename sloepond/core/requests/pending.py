"""Requests this balancer is responsible for right now."""

from __future__ import annotations

import enum

import msgspec

from sloepond.core.packets import BackendReply, CallerPacket, FlowKey, Reason
from sloepond.core.routing.flow_table import Flow

NOT_RECEIVED = float("-inf")
"""Time of a copy that has not come: earlier than any other time."""


class RequestStage(enum.Enum):
    """How far a request has come."""

    CONFIRMING = "confirming"
    """Reading the ledgers of former replicas."""
    CLAIMING = "claiming"
    """Waiting for a majority of replicas to grant the request id."""
    HANDED_OVER = "handed over"
    BACKING_OFF = "backing off"
    """Refused by the back end; waiting to try again."""
    REFUSING = "refusing"
    """Claiming the request id in order to say for certain that it was not run."""


class PendingRequest(msgspec.Struct, eq=False):
    """One request between its arrival and its outcome.

    :ivar packet: the latest copy from the caller.
    :ivar deadline: seconds of the node's clock after which the caller is gone.
    :ivar is_claimed: whether a majority has granted the request id to this balancer.
    :ivar refusal_reason: why it is being refused, in stage REFUSING.
    :ivar leased_until: end of the lease under which the request id was claimed.
    :ivar first_copy_at: when the copy with attempt 0 came, `NOT_RECEIVED` if not.
    :ivar hand_overs: times the request was sent to the back end.
    :ivar runs: parts of the answer by run number and part.
    :ivar refusals: times the back end said that it has not run it.
    """

    flow: Flow
    partition: int
    packet: CallerPacket
    repeatable: bool
    deadline: float
    stage: RequestStage = RequestStage.CONFIRMING
    is_claimed: bool = False
    is_cancelled: bool = False
    refusal_reason: Reason = Reason.NONE
    leased_until: float = 0.0
    first_copy_at: float = NOT_RECEIVED
    handed_at: float = 0.0
    hand_overs: int = 0
    refusals: int = 0
    runs: dict[int, dict[int, BackendReply]] = {}

    @property
    def key(self) -> tuple[FlowKey, int]:
        """Flow and request id."""
        return (self.packet.flow, self.packet.request_id)

    @property
    def is_with_backend(self) -> bool:
        """Whether a copy may be running at the back end."""
        return self.hand_overs > self.refusals

    def take_part(self, reply: BackendReply) -> bool:
        """Keep one part of an answer; return whether that answer is whole now.

        Parts of different runs of the request are never mixed.
        """
        parts = self.runs.setdefault(reply.attempt, {})
        parts[reply.part] = reply
        return len(parts) == reply.parts

    def parts_received(self) -> list[BackendReply]:
        """Return the parts of all runs received so far."""
        return [part for parts in self.runs.values() for part in parts.values()]

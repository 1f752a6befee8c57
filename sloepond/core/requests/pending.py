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
    :ivar open_runs: numbers of the runs the back end has not said it has not run.
    :ivar cancel_run: number sent with the cancellation, 0 before there is one.
    :ivar runs: parts of the answer by run number and part.
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
    open_runs: set[int] = set()
    cancel_run: int = 0
    runs: dict[int, dict[int, BackendReply]] = {}

    @property
    def key(self) -> tuple[FlowKey, int]:
        """Flow and request id."""
        return (self.packet.flow, self.packet.request_id)

    @property
    def is_with_backend(self) -> bool:
        """Whether a copy may be running at the back end."""
        return bool(self.open_runs)

    def take_refusal(self, run: int) -> bool:
        """Note that a run was not run; return whether no run is open any more.

        A back end's refusal proves something only of the very packet it answers.
        """
        if run not in self.open_runs:
            return False
        self.open_runs.discard(run)
        return not self.open_runs

    def take_cancellation(self, number: int) -> bool:
        """Note that the back end cancelled the request before it was started.

        :returns: whether that is certain of every run: there was only one.
        """
        if number != self.cancel_run or len(self.open_runs) != 1:
            return False
        self.open_runs.clear()
        return True

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

"""Messages between balancers.

Every message is a tagged, array-like msgspec struct, so that a datagram carries
no field names.  `wire.codec` encodes them and `wire.authentication` wraps them.
All times inside messages are milliseconds of the sender's own clock; they are
only ever echoed back to the sender, never compared with another clock.
"""

from __future__ import annotations

import enum

import msgspec

from sloepond.core.packets import CallerPacket, FlowKey
from sloepond.resources.model import Location


class MemberState(enum.IntEnum):
    """Where a balancer stands in its life."""

    JOINING = 0
    ACTIVE = 1
    LEAVING = 2


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One balancer process.

    :ivar name: name from the settings, unique among live balancers.
    :ivar incarnation: drawn anew at each start and each return after eviction,
        always larger than before (milliseconds of wall time at start).
    :ivar address: peer address `ip:port`.
    """

    name: str
    incarnation: int
    address: str
    location: Location


class View(msgspec.Struct, frozen=True, array_like=True):
    """The members of a cell, agreed by a quorum of the previous view.

    :ivar epoch: 0 before the cell has formed.  The first view takes the largest
        incarnation of its members in seconds (at least 1), so that a cell formed
        anew has larger epochs than any before; each later view adds 1.
    :ivar members: sorted by name.
    """

    epoch: int
    members: tuple[Member, ...]


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Number of a proposal for the next view; ordered by round, then name."""

    round: int
    proposer: str


class LoadSample(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A probe result passed on.

    :ivar backend: name of the back end.
    :ivar age_ms: age of the observation when sent.
    :ivar healthy: whether the back end answered its probe as healthy.
    """

    backend: str
    in_flight: int
    flows: int
    age_ms: int
    healthy: bool


class FlowEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a replica knows of one flow.

    `epoch` and `sequence` order the versions of an entry; the larger wins.

    :ivar backend: name of the back end the flow is pinned to.
    :ivar backend_address: its data address, kept so that the flow outlives the
        declaration of the back end.
    :ivar established: whether the back end has accepted the flow.
    :ivar highest_request: largest request id seen.
    :ivar seen_requests: bit i is set if request `highest_request - i` was seen.
    :ivar fresh_above: request ids above this are known not to have been used
        before the ledger was lost; 0 where the ledger was never lost.
    """

    flow: FlowKey
    backend: str
    backend_address: str
    epoch: int
    sequence: int
    established: bool = False
    highest_request: int = 0
    seen_requests: int = 0
    fresh_above: int = 0


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Sent to every member of the cell; carries the lease and small digests.

    :ivar stamp_ms: sender's clock when sent.
    :ivar echo_ms: latest `stamp_ms` the sender has from the receiver; -1 for none
        yet, -2 while the sender has accepted a later view and supports no lease.
    :ivar epoch: epoch of the view the sender is in.
    :ivar generation: configuration generation in force at the sender.
    :ivar digest: first 8 hexadecimal digits of that generation's digest.
    :ivar flows: open flows the sender is primary for.
    """

    stamp_ms: int
    echo_ms: int
    epoch: int
    state: MemberState
    generation: int
    digest: str
    flows: int = 0
    loads: tuple[LoadSample, ...] = ()


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Asks the receiver's cell to admit a member.

    :ivar cell: name of the cell the member belongs to; other cells ignore it.
    :ivar epoch: epoch of the latest view the sender knows, 0 for none.
    """

    member: Member
    cell: str = ""
    epoch: int = 0


class ViewPrepare(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """First phase of agreeing on the view after `epoch`.

    :ivar evicted: members the proposer has not heard and means to drop; a member
        that hears one of them makes no promise.
    """

    epoch: int
    ballot: Ballot
    evicted: tuple[str, ...] = ()


class ViewPromise(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answer to a prepare, with the proposal accepted so far, if any."""

    epoch: int
    ballot: Ballot
    accepted_ballot: Ballot | None
    accepted_view: View | None


class ViewChange(msgspec.Struct, frozen=True, array_like=True):
    """What leads from a view to the next.

    :ivar epoch: epoch of the next view.
    :ivar removed: names of members that are not in it.
    :ivar added: members that are new in it, or new in their incarnation.
    """

    epoch: int
    removed: tuple[str, ...]
    added: tuple[Member, ...]


class ViewAccept(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Second phase: asks members of `epoch` to accept the next view."""

    epoch: int
    ballot: Ballot
    change: ViewChange


class ViewAccepted(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Answer to an accept."""

    epoch: int
    ballot: Ballot


class ViewRejected(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A prepare or accept that lost to a higher ballot, or met an objection.

    :ivar reachable: members the prepare would evict and the sender hears.
    """

    epoch: int
    ballot: Ballot
    promised: Ballot
    reachable: tuple[str, ...] = ()


class ViewAnnounced(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A view that has been decided.

    :ivar cell: name of the cell; members of other cells ignore it.
    :ivar previous: the view before it, which a joining member has not seen.
    """

    view: View
    cell: str = ""
    previous: View | None = None


class ViewDecided(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The view after `epoch` is decided: what was accepted under `ballot`.

    Spares those who accepted it the view itself; others ask for it.
    """

    epoch: int
    ballot: Ballot


class ConfigurationRequested(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks for what changed since a generation.

    :ivar have_generation: generation in force at the sender, 0 for none.
    :ivar want_generation: generation the sender has heard of.
    :ivar part: first part still missing.
    """

    have_generation: int
    want_generation: int
    part: int


class ConfigurationPart(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """A part of an encoded snapshot or delta.

    :ivar base_generation: generation the delta applies to; 0 for a snapshot.
    """

    generation: int
    digest: str
    base_generation: int
    part: int
    parts: int
    data: bytes


class ConfigurationOffered(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Tells a balancer, often of another cell, of a generation in force."""

    generation: int
    digest: str


class CallerPacketForwarded(msgspec.Struct, frozen=True, array_like=True, tag=20, gc=False):
    """A caller's packet passed to a replica of its flow.

    :ivar hops: times it has been passed on; bounded.
    """

    epoch: int
    hops: int
    packet: CallerPacket


class FlowRecordRequested(msgspec.Struct, frozen=True, array_like=True, tag=22, gc=False):
    """Asks a replica to record an entry before the primary acts on it.

    Rides with data packets, not with control traffic.

    :ivar claim: request id the primary wants to hand over or refuse for good;
        0 for none.  A replica grants a claim once.
    """

    epoch: int
    token: int
    entry: FlowEntry
    claim: int = 0


class FlowRecorded(msgspec.Struct, frozen=True, array_like=True, tag=23, gc=False):
    """Answer to a record.

    :ivar epoch: epoch the replica is in; it grants nothing in another epoch.
    :ivar granted: whether the entry was recorded and the claim, if any, granted.
    """

    epoch: int
    token: int
    granted: bool


class FlowLookupRequested(msgspec.Struct, frozen=True, array_like=True, tag=24, gc=False):
    """Asks a former or present replica what it knows of a flow."""

    epoch: int
    token: int
    flow: FlowKey


class FlowLookedUp(msgspec.Struct, frozen=True, array_like=True, tag=25, gc=False):
    """Answer to a lookup; `entry` is None where the replica knows nothing."""

    epoch: int
    token: int
    entry: FlowEntry | None


class FlowsTransferred(msgspec.Struct, frozen=True, array_like=True, tag=26, gc=False):
    """A batch of entries for a new replica, sent at a bounded rate."""

    epoch: int
    token: int
    entries: tuple[FlowEntry, ...]


class FlowsTransferConfirmed(msgspec.Struct, frozen=True, array_like=True, tag=27, gc=False):
    """Confirms a batch."""

    token: int


class PartitionComparison(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A primary's digest of one partition.

    :ivar is_complete: whether the primary holds all records of former epochs.
    :ivar is_streamed: whether the receiver was sent all entries since then.
    """

    partition: int
    digest: int
    is_complete: bool
    is_streamed: bool


class PartitionsCompared(msgspec.Struct, frozen=True, array_like=True, tag=29):
    """Asks a balancer to compare its content of partitions with the primary's."""

    epoch: int
    comparisons: tuple[PartitionComparison, ...]


class PartitionReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Answer for one partition.

    :ivar has_vote: whether the primary holds all that the sender holds.
    :ivar complete_epoch: epoch at which the sender's content was complete.
    """

    partition: int
    has_vote: bool
    complete_epoch: int


class PartitionsReported(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """Answer to a comparison."""

    epoch: int
    reports: tuple[PartitionReport, ...]


class FlowClosed(msgspec.Struct, frozen=True, array_like=True, tag=28, gc=False):
    """Tells a replica that a flow has ended and its entry may be dropped."""

    flow: FlowKey


PeerMessage = (
    Heartbeat
    | JoinRequest
    | ViewPrepare
    | ViewPromise
    | ViewAccept
    | ViewAccepted
    | ViewRejected
    | ViewAnnounced
    | ViewDecided
    | ConfigurationRequested
    | ConfigurationPart
    | ConfigurationOffered
    | CallerPacketForwarded
    | FlowRecordRequested
    | FlowRecorded
    | FlowLookupRequested
    | FlowLookedUp
    | FlowsTransferred
    | FlowsTransferConfirmed
    | FlowClosed
    | PartitionsCompared
    | PartitionsReported
)

DATA_MESSAGES = (
    CallerPacketForwarded,
    FlowRecordRequested,
    FlowRecorded,
    FlowLookupRequested,
    FlowLookedUp,
    FlowClosed,
)
"""Messages sent because of a data packet; counted as data overhead."""

TRANSFER_MESSAGES = (FlowsTransferred, FlowsTransferConfirmed, PartitionsCompared, PartitionsReported)
"""Messages that restore replicas after a change of view; counted apart."""

"""The ring: which balancers hold which part of the flow space, as pure data.

A partitioned hash ring: the flow space is cut into a fixed number of
partitions, and each partition has an ordered tuple of replicas, chosen by
rendezvous hashing over the members of a view.  The halls of the replicas differ
as far as the view allows, so that the loss of one hall leaves copies.
"""

from __future__ import annotations

import xxhash

from sloepond.core.messages import Member, View
from sloepond.core.packets import FlowKey

_INCARNATION_MASK = (1 << 64) - 1


def flow_hash(flow: FlowKey) -> int:
    """Return a 64-bit hash of a flow, equal on every balancer."""
    text = (flow.caller_address + flow.service_address).encode()
    return xxhash.xxh3_64_intdigest(text, flow.incarnation & _INCARNATION_MASK)


def partition_of(hashed_flow: int, partitions: int) -> int:
    """Return the partition of a flow hash, 0 to `partitions` - 1."""
    return hashed_flow % partitions


class Ring:
    """Replicas of every partition under one view.

    :ivar epoch: epoch of the view.
    """

    __slots__ = ("_replicas", "epoch", "partitions")

    def __init__(self, view: View, partitions: int, replicas: int) -> None:
        """Compute the ring.

        :param view: members to choose from; may be empty.
        :param partitions: number of partitions.
        :param replicas: members per partition, fewer if the view is smaller.
        """
        self.epoch = view.epoch
        self.partitions = partitions
        self._replicas = tuple(
            _choose_replicas(view.members, partition, replicas) for partition in range(partitions)
        )

    def replicas_of(self, partition: int) -> tuple[Member, ...]:
        """Return the replicas of a partition, the preferred primary first."""
        return self._replicas[partition]

    def holds(self, name: str, partition: int) -> bool:
        """Return whether member `name` is a replica of a partition."""
        return any(member.name == name for member in self._replicas[partition])


def _rank(member: Member, partition: int) -> int:
    return xxhash.xxh3_64_intdigest(member.name.encode(), partition)


def _choose_replicas(members: tuple[Member, ...], partition: int, count: int) -> tuple[Member, ...]:
    ranked = sorted(members, key=lambda member: _rank(member, partition), reverse=True)
    chosen: list[Member] = []
    used_halls: set[str] = set()
    for member in ranked:
        if len(chosen) < count and member.location.hall not in used_halls:
            used_halls.add(member.location.hall)
            chosen.append(member)
    for member in ranked:
        if len(chosen) < count and member not in chosen:
            chosen.append(member)
    return tuple(chosen)


def quorum_size(count: int) -> int:
    """Return the size of a majority of `count` replicas."""
    return count // 2 + 1

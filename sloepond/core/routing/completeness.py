"""When a partition's content holds all that former epochs recorded.

A record of epoch e was made by a majority of the replicas of e.  A balancer
that holds the content of a majority of them, each read after it had moved to a
later epoch, holds every record of e.  If one of those it read was complete at
epoch e, nothing older is missing either.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence, Set

from sloepond.core.routing.ring import Ring, quorum_size

NOT_COMPLETE = 0
"""Epoch of a partition whose content has never been known to be complete."""

FIRST_EPOCH = 1
"""Epoch before which nothing can have been recorded."""


def has_majority(ring: Ring, partition: int, names: Set[str]) -> bool:
    """Return whether `names` holds a majority of a partition's replicas."""
    replicas = ring.replicas_of(partition)
    known = sum(1 for member in replicas if member.name in names)
    return known >= quorum_size(len(replicas))


def covers_former_epochs(
    rings: Sequence[Ring], partition: int, names: Set[str], complete_epochs: Iterable[int], epoch: int
) -> bool:
    """Return whether the content of `names` holds all records before `epoch`.

    :param rings: rings of former views this balancer knows.
    :param names: balancers whose content is known, this one included.
    :param complete_epochs: epochs at which they were complete.
    """
    base = max(complete_epochs, default=NOT_COMPLETE)
    if base >= epoch:
        return True
    if base == NOT_COMPLETE:
        return False
    by_epoch = {ring.epoch: ring for ring in rings}
    needed = range(base, epoch)
    if any(former not in by_epoch for former in needed):
        return False
    return all(has_majority(by_epoch[former], partition, names) for former in needed)

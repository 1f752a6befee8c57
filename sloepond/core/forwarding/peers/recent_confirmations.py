"""Keeps the last confirmation of each reader, for peers that have received none recently.

Owns: one confirmation for each reader.  Relies on: `Confirmations`, which adds those it sends and receives.
"""

from __future__ import annotations

import msgspec

from sloepond.core.forwarding.peers.messages import Changes, Confirmation
from sloepond.core.forwarding.store.staleness import STALE_AFTER_S


class RecentConfirmation(msgspec.Struct, frozen=True):
    """The last confirmation of a reader, and when it was received."""

    message: Confirmation
    received_at: float


class RecentConfirmations:
    """The last confirmation of each reader."""

    def __init__(self) -> None:
        self._by_reader: dict[int, RecentConfirmation] = {}

    def note(self, message: Confirmation, now: float) -> None:
        """Store a confirmation in place of the reader's last one."""
        self._by_reader[message.reader] = RecentConfirmation(message, now)

    def recent(self, now: float) -> list[Confirmation]:
        """Return those that are still fresh, with their age and without changes.

        After a loss of all processes every balancer requests them from the few seeds, four times per second;
        with changes the seeds would send nearly twice as many bytes.
        """
        recent: list[Confirmation] = []
        for received in self._by_reader.values():
            age_s = received.message.age_s + now - received.received_at
            if age_s < STALE_AFTER_S:
                recent.append(msgspec.structs.replace(without_changes(received.message), age_s=age_s))
        return recent

    def forget(self, now: float) -> None:
        """Remove those that are no longer fresh."""
        old = [
            reader
            for reader, received in self._by_reader.items()
            if now - received.received_at > STALE_AFTER_S
        ]
        for reader in old:
            del self._by_reader[reader]


def without_changes(message: Confirmation) -> Confirmation:
    """Return a confirmation that carries only the versions and revisions of its reader.

    A balancer forwards changes in full when they are new to it.  When it receives them again it forwards only
    that they are confirmed, and a peer that lacks them requests them.  Together with `CHANGE_REPEATS` this
    reduces the traffic between balancers several times.
    """
    sent = message.changes
    bare = Changes(
        sent.routes_version,
        None,
        sent.revision,
        sent.revision,
        sent.last_change_revision,
        (),
        sent.evacuated,
        sent.list_checksum,
    )
    return msgspec.structs.replace(message, changes=bare)

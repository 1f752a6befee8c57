"""The last confirmation heard of each reader, for peers that have heard none lately."""

from __future__ import annotations

import msgspec

from sloepond.core.forwarding.peers.messages import Changes, Confirmation
from sloepond.core.forwarding.peers.reader_election import FRESH_S


class RecentConfirmation(msgspec.Struct, frozen=True):
    """The last confirmation of a reader and when it was heard."""

    message: Confirmation
    at: float


class RecentConfirmations:
    """One confirmation for each reader."""

    def __init__(self) -> None:
        self._heard: dict[int, RecentConfirmation] = {}

    def note(self, message: Confirmation, now: float) -> None:
        """Keep a confirmation in place of the reader's last one."""
        self._heard[message.reader] = RecentConfirmation(message, now)

    def recent(self, now: float) -> list[Confirmation]:
        """Return those that are still fresh, with their age and without changes.

        After a loss of all processes everyone asks the few seeds for them, four times a
        second; changes told each time made 1,066 kB/s of a seed before 195 balancers, 600 without.
        """
        recent: list[Confirmation] = []
        for heard in self._heard.values():
            age_s = heard.message.age_s + now - heard.at
            if age_s < FRESH_S:
                recent.append(msgspec.structs.replace(without_changes(heard.message), age_s=age_s))
        return recent

    def forget(self, now: float) -> None:
        """Forget those that are fresh no longer."""
        old = [reader for reader, heard in self._heard.items() if now - heard.at > FRESH_S]
        for reader in old:
            del self._heard[reader]


def without_changes(message: Confirmation) -> Confirmation:
    """Return a confirmation that only names how much its reader knows.

    Whoever learns of changes passes them on once; all who hear them again pass on only that
    they are confirmed, and who lacks them then asks.  What 195 balancers sent each other
    over one day fell from 254 to 68 MB by this and by telling each change in two confirmations.
    """
    told = message.changes
    bare = Changes(
        told.routes_version,
        None,
        told.revision,
        told.revision,
        told.changed_at,
        (),
        told.evacuated,
        told.list_checksum,
    )
    return msgspec.structs.replace(message, changes=bare)

"""Index of the back ends that have changed since a revision of the store, for peers that lack those changes.

Owns: the names and revisions of the last changes.  Relies on: `BackendDirectory`, which records each change.
"""

from __future__ import annotations

import collections

import msgspec

MAXIMUM_CHANGES = 4_096
"""Maximum number of changes kept; a peer that lacks more reads the list.  Many more than the 96 that answer
one request; takes about 0.3 MB of memory."""


class IndexedChange(msgspec.Struct, frozen=True, gc=False):
    """One change: the revision and the name of the back end."""

    revision: int
    name: str


class ChangeIndex:
    """Names of changed back ends, in the order in which the changes were applied here.

    :ivar latest: highest revision of a change.
    :ivar complete_from: revision after which all changes are kept.
    """

    def __init__(self) -> None:
        self._changes: collections.deque[IndexedChange] = collections.deque()
        self.complete_from = 0
        self.latest = 0

    def record_change(self, name: str, revision: int) -> None:
        """Record that a back end has changed at a revision."""
        self.latest = max(self.latest, revision)
        self._changes.append(IndexedChange(revision, name))
        if len(self._changes) > MAXIMUM_CHANGES:
            self.complete_from = max(self.complete_from, self._changes.popleft().revision)

    def skip_to(self, revision: int) -> None:
        """Record that the index lacks some changes up to a revision."""
        self.complete_from = max(self.complete_from, revision)

    def since(self, revision: int) -> tuple[str, ...] | None:
        """Return the names of all back ends that changed after a revision, each once.

        :returns: None if not all such changes are kept.
        """
        if revision < self.complete_from:
            return None
        return tuple(dict.fromkeys(change.name for change in self._changes if change.revision > revision))

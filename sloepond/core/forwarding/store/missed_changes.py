"""Notices that a watch has missed a change: the store's revision goes on without it.

The answer to a watch may be lost without an error, on a connection that stays silent.  The answers to
probes beside it name the store's revision.

Owns: the revision of the last probe, and the backoff between reads for this reason.  Relies on:
`StoreProbing`, which passes on each answer.
"""

from __future__ import annotations

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.store.backoff import DoublingInterval

READ_INTERVAL_S = 1.0
"""The least seconds between reads for this reason; it doubles with each that brings nothing, since others
may write to the store what nobody here watches.  Not measured: one probe interval."""
LONGEST_READ_INTERVAL_S = 60.0
"""Seconds up to which it doubles.  Not measured: the interval of regular reads of the list."""


class KnownState(msgspec.Struct, frozen=True):
    """What is known when a probe is answered.

    :ivar revision: revision up to which a watch or a read has brought all.
    :ivar routes_version: version of the routes in force.
    :ivar list_checksum: anti-entropy checksum of the list of back ends.
    """

    revision: int
    routes_version: int
    list_checksum: int

    def has_same_content(self, other: KnownState) -> bool:
        """Tell whether routes and back ends are the same, whatever the revision."""
        return self.routes_version == other.routes_version and self.list_checksum == other.list_checksum


class MissedChanges:
    """Compares the store's revision in answers to probes with the one known."""

    def __init__(self) -> None:
        self._probed_revision = 0
        self._read_for = KnownState(0, 0, 0)
        self._read_again_at = -NEVER
        self._interval = DoublingInterval(READ_INTERVAL_S, LONGEST_READ_INTERVAL_S)

    def begin(self) -> None:
        """Forget earlier probes: this balancer begins to watch."""
        self._probed_revision = 0

    def probed(self, revision: int, known: KnownState, now: float) -> bool:
        """Take the answer to a probe; return whether everything is to be read.

        A watch is held back for up to a second so that changes are gathered, and then answered
        at once: what one probe shows must be known at the next.

        :param revision: the store's revision in the answer.
        """
        has_missed = known.revision < self._probed_revision
        self._probed_revision = revision
        if not has_missed or now < self._read_again_at:
            return False
        if known.has_same_content(self._read_for):
            self._interval.double()
        else:
            self._interval.reset()
        self._read_for = known
        self._read_again_at = now + self._interval.seconds
        return True

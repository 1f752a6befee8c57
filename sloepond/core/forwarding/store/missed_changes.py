"""Detects changes that a watch has missed, by the store's revision in the answers to probes.

The answer to a watch may be lost without an error, on a connection that stays open but silent.  Probes that
run beside the watch return the store's current revision.

Owns: the revision of the last probe, and the backoff between reads that this check requests.  Relies on:
`StoreProbing`, which passes on each answer to a probe.
"""

from __future__ import annotations

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.store.backoff import DoublingInterval

MINIMUM_READ_INTERVAL_S = 1.0
"""Minimum seconds between reads requested by this check, about one probe interval.  The interval doubles
after each read that brings nothing new, since other programs may write keys that no balancer watches."""
MAXIMUM_READ_INTERVAL_S = 60.0
"""Maximum of that interval in seconds, the interval of regular reads of the list."""


class KnownContent(msgspec.Struct, frozen=True):
    """What this balancer holds when a probe is answered.

    :ivar revision: store revision up to which watches and reads have brought all changes.
    :ivar routes_version: version of the routes in force.
    :ivar list_checksum: anti-entropy checksum of the list of back ends.
    """

    revision: int
    routes_version: int
    list_checksum: int

    def has_same_content(self, other: KnownContent) -> bool:
        """Return whether routes and back ends are the same, whatever the revision."""
        return self.routes_version == other.routes_version and self.list_checksum == other.list_checksum


class MissedChanges:
    """Compares the store's revision in answers to probes with the revision known here."""

    def __init__(self) -> None:
        self._probed_revision = 0
        self._content_at_read = KnownContent(0, 0, 0)
        self._next_read_at = -NEVER
        self._interval = DoublingInterval(MINIMUM_READ_INTERVAL_S, MAXIMUM_READ_INTERVAL_S)

    def begin(self) -> None:
        """Forget earlier probes when this balancer begins to watch."""
        self._probed_revision = 0

    def probe_answered(self, revision: int, known: KnownContent, now: float) -> bool:
        """Handle the answer to a probe; return whether everything must be read.

        The next watch is delayed by up to one second so that changes are batched, and is then answered
        at once.  So a revision that one probe returns must be known here when the next probe is answered.

        :param revision: the store's revision in the answer.
        """
        has_missed = known.revision < self._probed_revision
        self._probed_revision = revision
        if not has_missed or now < self._next_read_at:
            return False
        if known.has_same_content(self._content_at_read):
            self._interval.double()
        else:
            self._interval.reset()
        self._content_at_read = known
        self._next_read_at = now + self._interval.seconds
        return True

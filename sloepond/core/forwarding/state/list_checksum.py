"""Anti-entropy checksum of the list of back ends: shows whether two balancers hold the same list.

It depends only on the entries and their revisions, not on the order in which they were added, so two
balancers can compare their lists without sending them.

Owns: the checksum and each entry's part in it.  Relies on: `BackendDirectory`, which reports each change.
"""

from __future__ import annotations

import msgspec

CHECKSUM_BITS = 64
"""Size of the checksum in bits.  Two lists that differ have the same checksum with a probability of 5e-20."""
CHECKSUM_MASK = (1 << CHECKSUM_BITS) - 1
"""Mask of the bits of a checksum."""
NO_CHECKSUM = 0
"""Checksum field of a message that carries no checksum."""
EMPTY_CHECKSUM = 0x6A09E667F3BCC908
"""Checksum of an empty list: any number but `NO_CHECKSUM`."""
_NUMBER_FACTOR = 0x9E3779B97F4A7C15
"""Increment of the splitmix64 generator (Steele, Lea, Flood, 2014), an odd number."""
_REVISION_FACTOR = 0xBF58476D1CE4E5B9
"""First mixing factor of splitmix64.  With the shifts in `_mix`, each bit of an identity or a revision
changes about half of the bits of the result."""
_MIXING_FACTOR = 0x94D049BB133111EB
"""Second mixing factor of splitmix64."""


class ListedEntry(msgspec.Struct, frozen=True, gc=False):
    """One entry of the list: its revision, and what it adds to the checksum."""

    revision: int
    value: int


class ListChecksum:
    """The checksum of a list that changes entry by entry.

    :ivar value: the checksum, 64 bits.
    """

    def __init__(self) -> None:
        self.value = EMPTY_CHECKSUM
        self._entries: dict[str, ListedEntry] = {}

    def add(self, name: str, number: int, revision: int) -> None:
        """Add a listed back end, or update its revision; an older revision changes nothing.

        :param number: identity of the back end (64 bits).
        """
        known = self._entries.get(name)
        if known is not None and known.revision >= revision:
            return
        entry = ListedEntry(revision, _mix(number, revision))
        self.value ^= entry.value ^ (known.value if known is not None else 0)
        self._entries[name] = entry

    def remove(self, name: str) -> None:
        """Remove a back end that is no longer listed."""
        known = self._entries.pop(name, None)
        if known is not None:
            self.value ^= known.value


def _mix(number: int, revision: int) -> int:
    """Return 64 bits that depend on all bits of an identity and a revision."""
    mixed = (number * _NUMBER_FACTOR + revision * _REVISION_FACTOR) & CHECKSUM_MASK
    mixed = (mixed ^ mixed >> 30) * _REVISION_FACTOR & CHECKSUM_MASK
    mixed = (mixed ^ mixed >> 27) * _MIXING_FACTOR & CHECKSUM_MASK
    return mixed ^ mixed >> 31

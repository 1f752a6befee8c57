"""Reassembly of an encoded delta or snapshot from its parts.

Owns the parts of one transfer.  Relies on the sender's header for their number, within limits.
"""

from __future__ import annotations

import msgspec

from sloepond.core.configuration.encoding import MAXIMUM_ENCODED_BYTES
from sloepond.core.messages import ConfigurationPart

MAXIMUM_PART_BYTES = 60_000
MAXIMUM_PARTS = 65_536


class TransferHeader(msgspec.Struct, frozen=True):
    """Fields that all parts of one transfer share."""

    generation: int
    digest: str
    base_generation: int
    parts: int


def header_of(part: ConfigurationPart) -> TransferHeader:
    """Return the header of the transfer a part belongs to."""
    return TransferHeader(part.generation, part.digest, part.base_generation, part.parts)


def is_well_formed(part: ConfigurationPart) -> bool:
    """Return whether the numbers and the size of a part are within their limits."""
    if not 0 < part.parts <= MAXIMUM_PARTS or not 0 <= part.part < part.parts:
        return False
    return part.generation > part.base_generation >= 0 and len(part.data) <= MAXIMUM_PART_BYTES


class PartAssembly:
    """Parts of one transfer received so far; the total size is bounded."""

    def __init__(self, header: TransferHeader) -> None:
        self.header = header
        self._parts: dict[int, bytes] = {}
        self._bytes = 0
        self._first_missing = 0

    @property
    def first_missing(self) -> int:
        """Index of the first part not received; the number of parts when complete."""
        return self._first_missing

    @property
    def is_complete(self) -> bool:
        """Return whether every part was received."""
        return self._first_missing == self.header.parts

    def add(self, part: ConfigurationPart) -> bool:
        """Add a part of this transfer; return whether it was new and fits."""
        if part.part in self._parts or self._bytes + len(part.data) > MAXIMUM_ENCODED_BYTES:
            return False
        self._parts[part.part] = part.data
        self._bytes += len(part.data)
        while self._first_missing in self._parts:
            self._first_missing += 1
        return True

    def data(self) -> bytes:
        """Return the reassembled bytes; only when complete."""
        return b"".join(self._parts[index] for index in range(self.header.parts))

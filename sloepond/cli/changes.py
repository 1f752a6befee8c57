"""Summary of the difference between two sets of resources."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from sloepond.resources.content import resource_key
from sloepond.resources.model import Resource


class ResourceChanges(msgspec.Struct, frozen=True):
    """Numbers of resources added, changed and removed."""

    added: int
    changed: int
    removed: int

    def __str__(self) -> str:
        return f"{self.added} added, {self.changed} changed, {self.removed} removed"

    @property
    def is_empty(self) -> bool:
        """Whether nothing changes."""
        return not (self.added or self.changed or self.removed)


def compare_resources(present: Sequence[Resource], wanted: Sequence[Resource]) -> ResourceChanges:
    """Return the changes made by replacing `present` with `wanted`."""
    before = {resource_key(resource): resource for resource in present}
    after = {resource_key(resource): resource for resource in wanted}
    shared = before.keys() & after.keys()
    return ResourceChanges(
        added=len(after) - len(shared),
        changed=sum(before[key] != after[key] for key in shared),
        removed=len(before) - len(shared),
    )

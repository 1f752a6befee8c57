"""All resources of one generation, sorted by kind and name.

Owns the order of resources and lookups that use it.  Relies on `resources.digest` for the
digest of a set and on `resources.sorted_items` for sequences that are cheap to change.
"""

from __future__ import annotations

import bisect
from collections.abc import Sequence

import msgspec

from sloepond.resources.digest import digest_of, updated_digest_slices
from sloepond.resources.model import Backend, ConfigurationSnapshot, Kind, Resource
from sloepond.resources.slices import Slices, blocks
from sloepond.resources.sorted_items import SortedItems

_BACKEND_KIND = Kind.BACKEND.value


class ResourceKey(msgspec.Struct, frozen=True, array_like=True, order=True, gc=False):
    """Identity of a resource; keys sort by kind, then name."""

    kind: str
    name: str


_AFTER_BACKENDS = ResourceKey(_BACKEND_KIND + "\0", "")
"""Sorts after every back end and before all other kinds."""


class GenerationContent(msgspec.Struct, frozen=True):
    """All resources of one generation, in a form that is cheap to update."""

    generation: int
    digest: str
    resources: SortedItems[Resource]


def changes_only_backends(changed: Sequence[Resource], removed: Sequence[ResourceKey]) -> bool:
    """Return whether a change affects back ends only."""
    return all(isinstance(resource, Backend) for resource in changed) and all(
        key.kind == _BACKEND_KIND for key in removed
    )


def backend_count(resources: Sequence[Resource]) -> int:
    """Return the number of back ends among resources sorted by key; back ends sort first."""
    return bisect.bisect_left(resources, _AFTER_BACKENDS, key=resource_key)


def without_backends(resources: Sequence[Resource]) -> tuple[Resource, ...]:
    """Return the resources of all other kinds, from resources sorted by key."""
    return tuple(resources[backend_count(resources) :])


def resource_key(resource: Resource) -> ResourceKey:
    """Return the identity of a resource, which is also its sort key."""
    return ResourceKey(type(resource).__name__, resource.metadata.name)


def make_snapshot(generation: int, resources: Sequence[Resource]) -> ConfigurationSnapshot:
    """Return a snapshot of `resources`, sorted, with its digest.

    :param generation: number of the generation, 1 or more.
    """
    ordered = tuple(sorted(resources, key=resource_key))
    return ConfigurationSnapshot(generation=generation, digest=digest_of(ordered), resources=ordered)


def content_of(snapshot: ConfigurationSnapshot) -> GenerationContent:
    """Return the content of a snapshot, whose resources must be sorted."""
    resources: SortedItems[Resource] = SortedItems(snapshot.resources, resource_key)
    return GenerationContent(snapshot.generation, snapshot.digest, resources)


def updated_content_slices(
    base: GenerationContent,
    generation: int,
    changed: Sequence[Resource],
    removed: Sequence[ResourceKey],
) -> Slices[GenerationContent]:
    """Return the content after a change, in slices; only changed resources are hashed.

    :param changed: resources that are new or differ; at most one for each key.
    :param removed: keys of removed resources; unknown ones are ignored.
    """
    former: list[Resource] = []
    if base.resources:
        for block in blocks(dict.fromkeys((*removed, *map(resource_key, changed)))):
            found = (find_resource(base.resources, key) for key in block)
            former.extend(resource for resource in found if resource is not None)
            yield len(block)
    digest = yield from updated_digest_slices(base.digest, added=changed, removed=former)
    resources = yield from base.resources.edited_slices(removed, changed)
    return GenerationContent(generation, digest, resources)


def find_resource(resources: Sequence[Resource], key: ResourceKey) -> Resource | None:
    """Return the resource with a key among resources sorted by key; None if there is none."""
    position = bisect.bisect_left(resources, key, key=resource_key)
    if position < len(resources) and resource_key(resources[position]) == key:
        return resources[position]
    return None

"""Incremental update of the indexes of a configuration.

Owns the services under construction; the indexes that it starts from are not modified.
Relies on `resources.compiled_items` to compile changed resources.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from sloepond.resources.compiled_items import (
    CompiledBackend,
    CompiledService,
    compile_backend,
    compile_service,
    relocated_backend,
)
from sloepond.resources.content import ResourceKey
from sloepond.resources.model import Backend, Kind, Location, Resource, Service, ServiceSpec
from sloepond.resources.ordered import edited
from sloepond.resources.slices import Slices, blocks

SCANNED_BACKENDS_PER_UNIT = 8
"""Back ends whose hall can be looked up for about the cost of compiling one."""
COPIED_BACKENDS_PER_UNIT = 32
"""Back ends that can be copied into a new tuple for about the cost of compiling one."""


class RemovedNames(msgspec.Struct, frozen=True):
    """Names of removed back ends and services."""

    backends: tuple[str, ...]
    services: tuple[str, ...]


def removed_names(removed: Sequence[ResourceKey]) -> RemovedNames:
    """Return the names of back ends and services among removed keys."""
    return RemovedNames(
        backends=tuple(key.name for key in removed if key.kind == Kind.BACKEND.value),
        services=tuple(key.name for key in removed if key.kind == Kind.SERVICE.value),
    )


class IndexUpdate:
    """The services after a change, and the back ends that differ.

    Only the services that the change affects are rebuilt; all others, and the
    back ends that do not differ, remain the same objects.

    :ivar services: all services after the change, by name.
    :ivar changed_names: names of the back ends that were added, changed or removed.
    :ivar removed_backends: former versions of these back ends.
    :ivar added_backends: new versions of these back ends.
    """

    def __init__(
        self,
        services: Mapping[str, CompiledService],
        backends: Mapping[str, CompiledBackend],
        locations: dict[str, Location],
    ) -> None:
        self._former_services = services
        self._backends = backends
        self._former_locations = locations
        self._locations = locations
        self.services = dict(services)
        self.changed_names: dict[str, None] = {}
        self.removed_backends: list[CompiledBackend] = []
        self.added_backends: list[CompiledBackend] = []

    def apply(
        self, changed: Sequence[Resource], removed: RemovedNames, locations: dict[str, Location]
    ) -> Slices[None]:
        """Apply a change.

        :param changed: resources that are new or differ; at most one for each key.
        :param locations: location of each hall after the change.
        :raises KeyError: if a back end names a hall without a location.
        """
        self._locations = locations
        specs = {item.metadata.name: item.spec for item in changed if isinstance(item, Service)}
        backend_names = [item.metadata.name for item in changed if isinstance(item, Backend)]
        backend_names.extend(removed.backends)
        self.changed_names.update(dict.fromkeys(backend_names))
        self.removed_backends.extend(
            self._backends[name] for name in self.changed_names if name in self._backends
        )
        self._compile_backends(changed, specs, removed)
        affected = {backend.service for backend in (*self.removed_backends, *self.added_backends)}
        affected.update(specs, removed.services, (yield from self._moved_services()))
        by_owner = _grouped(self.removed_backends), _grouped(self.added_backends)
        for name in sorted(affected):
            spec = None if name in removed.services else specs.get(name, self._spec(name))
            yield from self._replace_service(name, spec, by_owner[0].get(name, []), by_owner[1].get(name, []))

    def _spec(self, name: str) -> ServiceSpec | None:
        service = self._former_services.get(name)
        return service.spec if service else None

    def _compile_backends(
        self, changed: Sequence[Resource], specs: dict[str, ServiceSpec], removed: RemovedNames
    ) -> None:
        """Compile changed back ends; those whose service is not declared are skipped."""
        for resource in changed:
            if not isinstance(resource, Backend) or resource.spec.service in removed.services:
                continue
            spec = specs.get(resource.spec.service, self._spec(resource.spec.service))
            if spec is not None:
                self.added_backends.append(compile_backend(spec, resource, self._locations))

    def _moved_services(self) -> Slices[set[str]]:
        """Return the services with a back end in a hall whose location has changed."""
        before, after = self._former_locations, self._locations
        moved = {hall for hall in before if after.get(hall) != before[hall]} if before is not after else set()
        services: set[str] = set()
        if not moved:
            return services
        for service in self._former_services.values():
            for block in blocks(service.backends):
                if any(backend.location.hall in moved for backend in block):
                    services.add(service.name)
                yield len(block) // SCANNED_BACKENDS_PER_UNIT
        return services

    def _replace_service(
        self,
        name: str,
        spec: ServiceSpec | None,
        removed_backends: list[CompiledBackend],
        added_backends: list[CompiledBackend],
    ) -> Slices[None]:
        """Rebuild one service.

        :param spec: None if the service is removed.
        :param removed_backends: former versions of its back ends that differ.
        :param added_backends: new versions of its back ends that differ.
        """
        former = self._former_services.get(name)
        kept = former.backends if former else ()
        if spec is None:
            self._remove_service(name, kept)
            return
        place_rules_changed = former is None or _places_differ(former.spec, spec)
        if place_rules_changed or self._locations is not self._former_locations:
            kept = yield from self._relocate_backends(spec, kept)
        names = [backend.name for backend in removed_backends]
        backends = edited(kept, _backend_name, names, added_backends)
        yield len(backends) // COPIED_BACKENDS_PER_UNIT
        if former is not None and kept is former.backends:
            added = [backend for backend in added_backends if backend.accepts_new_flows]
            eligible_backends = edited(former.eligible_backends, _backend_name, names, added)
        else:
            eligible_backends = tuple(backend for backend in backends if backend.accepts_new_flows)
        yield len(eligible_backends) // COPIED_BACKENDS_PER_UNIT
        self.services[name] = compile_service(name, spec, backends, eligible_backends)

    def _remove_service(self, name: str, backends: Sequence[CompiledBackend]) -> None:
        self.services.pop(name, None)
        for backend in backends:
            if backend.name not in self.changed_names:
                self.changed_names[backend.name] = None
                self.removed_backends.append(backend)

    def _relocate_backends(
        self, spec: ServiceSpec, backends: tuple[CompiledBackend, ...]
    ) -> Slices[tuple[CompiledBackend, ...]]:
        """Update locations and place permissions, except of back ends that are already compiled."""
        result: list[CompiledBackend] = []
        is_same = True
        for block in blocks(backends):
            for backend in block:
                if backend.name in self.changed_names:
                    result.append(backend)
                    continue
                relocated = relocated_backend(spec, backend, self._locations)
                result.append(relocated)
                if relocated is not backend:
                    is_same = False
                    self.removed_backends.append(backend)
                    self.added_backends.append(relocated)
                    self.changed_names[backend.name] = None
            yield len(block)
        return backends if is_same else tuple(result)


def _places_differ(one: ServiceSpec, other: ServiceSpec) -> bool:
    return one.permitted != other.permitted or one.denied != other.denied


def _grouped(backends: Sequence[CompiledBackend]) -> dict[str, list[CompiledBackend]]:
    groups: dict[str, list[CompiledBackend]] = {}
    for backend in backends:
        groups.setdefault(backend.service, []).append(backend)
    return groups


def _backend_name(backend: CompiledBackend) -> str:
    return backend.name

"""Changes of a few resources applied to the indexes of a configuration.

Owns the new services while a change is worked out; the indexes it starts from stay as they
are.  Relies on `resources.compiled_items` to compile what changed.
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

SCANNED_PER_UNIT = 8
"""Back ends whose hall is looked up for about the cost of compiling one."""
COPIED_PER_UNIT = 32
"""Back ends copied into a new tuple for about the cost of compiling one."""


class RemovedNames(msgspec.Struct, frozen=True):
    """Names of resources that are gone."""

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

    Only the services that a change concerns are touched; all others, and the
    back ends that do not differ, stay the same objects.

    :ivar services: all services after the change, by name.
    :ivar names: back ends that were added, changed or removed.
    :ivar gone: their former states.
    :ivar present: their present states.
    """

    def __init__(
        self,
        services: Mapping[str, CompiledService],
        backends: Mapping[str, CompiledBackend],
        locations: dict[str, Location],
    ) -> None:
        self._former = services
        self._backends = backends
        self._former_locations = locations
        self._locations = locations
        self.services = dict(services)
        self.names: dict[str, None] = {}
        self.gone: list[CompiledBackend] = []
        self.present: list[CompiledBackend] = []

    def change(
        self, changed: Sequence[Resource], removed: RemovedNames, locations: dict[str, Location]
    ) -> Slices[None]:
        """Apply a change.

        :param changed: resources that are new or differ; at most one of a key.
        :param locations: location of each hall after the change.
        :raises KeyError: if a back end names a hall without location.
        """
        self._locations = locations
        specs = {item.metadata.name: item.spec for item in changed if isinstance(item, Service)}
        touched = [item.metadata.name for item in changed if isinstance(item, Backend)]
        touched.extend(removed.backends)
        self.names.update(dict.fromkeys(touched))
        self.gone.extend(self._backends[name] for name in self.names if name in self._backends)
        self._compile(changed, specs, removed)
        affected = {backend.service for backend in (*self.gone, *self.present)}
        affected.update(specs, removed.services, (yield from self._moved_services()))
        by_owner = _grouped(self.gone), _grouped(self.present)
        for name in sorted(affected):
            spec = None if name in removed.services else specs.get(name, self._spec(name))
            yield from self._replace(name, spec, by_owner[0].get(name, []), by_owner[1].get(name, []))

    def _spec(self, name: str) -> ServiceSpec | None:
        service = self._former.get(name)
        return service.spec if service else None

    def _compile(
        self, changed: Sequence[Resource], specs: dict[str, ServiceSpec], removed: RemovedNames
    ) -> None:
        """Compile changed back ends whose service is declared; the others have no effect."""
        for resource in changed:
            if not isinstance(resource, Backend) or resource.spec.service in removed.services:
                continue
            spec = specs.get(resource.spec.service, self._spec(resource.spec.service))
            if spec is not None:
                self.present.append(compile_backend(spec, resource, self._locations))

    def _moved_services(self) -> Slices[set[str]]:
        """Return the services with a back end in a hall whose location differs."""
        before, after = self._former_locations, self._locations
        moved = {hall for hall in before if after.get(hall) != before[hall]} if before is not after else set()
        services: set[str] = set()
        if not moved:
            return services
        for service in self._former.values():
            for block in blocks(service.backends):
                if any(backend.location.hall in moved for backend in block):
                    services.add(service.name)
                yield len(block) // SCANNED_PER_UNIT
        return services

    def _replace(
        self,
        name: str,
        spec: ServiceSpec | None,
        gone: list[CompiledBackend],
        present: list[CompiledBackend],
    ) -> Slices[None]:
        """Replace one service; `gone` and `present` are its back ends that differ."""
        former = self._former.get(name)
        kept = former.backends if former else ()
        if spec is None:
            self._drop(name, kept)
            return
        is_judged_anew = former is None or _places_differ(former.spec, spec)
        if is_judged_anew or self._locations is not self._former_locations:
            kept = yield from self._relocated(spec, kept)
        names = [backend.name for backend in gone]
        backends = edited(kept, _backend_name, names, present)
        yield len(backends) // COPIED_PER_UNIT
        if former is not None and kept is former.backends:
            added = [backend for backend in present if backend.accepts_new_flows]
            eligible_backends = edited(former.eligible_backends, _backend_name, names, added)
        else:
            eligible_backends = tuple(backend for backend in backends if backend.accepts_new_flows)
        yield len(eligible_backends) // COPIED_PER_UNIT
        self.services[name] = compile_service(name, spec, backends, eligible_backends)

    def _drop(self, name: str, backends: Sequence[CompiledBackend]) -> None:
        self.services.pop(name, None)
        for backend in backends:
            if backend.name not in self.names:
                self.names[backend.name] = None
                self.gone.append(backend)

    def _relocated(
        self, spec: ServiceSpec, backends: tuple[CompiledBackend, ...]
    ) -> Slices[tuple[CompiledBackend, ...]]:
        """Judge the places of back ends anew, but of those that changed by themselves."""
        result: list[CompiledBackend] = []
        is_same = True
        for block in blocks(backends):
            for backend in block:
                if backend.name in self.names:
                    result.append(backend)
                    continue
                relocated = relocated_backend(spec, backend, self._locations)
                result.append(relocated)
                if relocated is not backend:
                    is_same = False
                    self.gone.append(backend)
                    self.present.append(relocated)
                    self.names[backend.name] = None
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

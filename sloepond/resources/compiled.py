"""A configuration snapshot, indexed for the data path.

`CompiledConfiguration` answers, without any parsing, which back ends a service
has, and which of them its place rules permit.  `is_place_permitted` is the one
place filter of the system; every path that picks a back end goes through it.
"""

from __future__ import annotations

import bisect
from collections.abc import Sequence

import msgspec

from sloepond.resources.digest import digest_of, updated_digest
from sloepond.resources.model import (
    Backend,
    BackendState,
    ConfigurationSnapshot,
    Hall,
    Kind,
    Location,
    Resource,
    Service,
    ServiceLimits,
    ServiceSpec,
    Zone,
)
from sloepond.resources.ordered import edited

INCREMENTAL_LIMIT = 1_000
"""Changed resources above which a configuration is compiled from the start."""


class ResourceKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identity of a resource; keys sort by kind, then name."""

    kind: str
    name: str


class CompiledBackend(msgspec.Struct, frozen=True):
    """One back end of a service, with its place resolved."""

    name: str
    service: str
    address: str
    location: Location
    slots: int
    connections: int
    weight: int
    state: BackendState
    permitted: bool
    """Whether the service's place rules permit this back end's place."""

    @property
    def takes_new_flows(self) -> bool:
        """Whether declared state and place let this back end take new flows."""
        return self.permitted and self.state is BackendState.ACTIVE and self.weight > 0


class CompiledService(msgspec.Struct, frozen=True):
    """One service and its back ends, sorted by name."""

    name: str
    address: str
    spec: ServiceSpec
    limits: ServiceLimits
    backends: tuple[CompiledBackend, ...]
    placeable: tuple[CompiledBackend, ...]
    """Back ends that may take new flows: permitted, active, weight above 0."""


class ConfigurationChange(msgspec.Struct, frozen=True):
    """Which back ends differ from an earlier generation.

    :ivar base_generation: the earlier generation.
    :ivar backends: names of back ends added, changed or removed.
    """

    base_generation: int
    backends: tuple[str, ...]


class CompiledConfiguration:
    """Index of one generation.

    :ivar generation: 0 where nothing is in force yet.
    :ivar change: what differs from the generation it was updated from; None
        where it was compiled from the start.
    :ivar services_by_address: virtual address `ip:port` -> service.
    :ivar backends_by_name: name -> back end, of all services.
    :ivar backends_by_address: data address `ip:port` -> back end.
    """

    __slots__ = (
        "_locations",
        "backends_by_address",
        "backends_by_name",
        "change",
        "digest",
        "generation",
        "services_by_address",
        "services_by_name",
        "snapshot",
    )

    def __init__(self, snapshot: ConfigurationSnapshot) -> None:
        self.snapshot = snapshot
        self.generation = snapshot.generation
        self.digest = snapshot.digest
        self.change: ConfigurationChange | None = None
        self.backends_by_name: dict[str, CompiledBackend] = {}
        self.backends_by_address: dict[str, CompiledBackend] = {}
        self.services_by_address: dict[str, CompiledService] = {}
        self.services_by_name: dict[str, CompiledService] = {}
        self._locations = resolve_locations(snapshot.resources)
        self._compile(snapshot.resources)

    def _compile(self, resources: tuple[Resource, ...]) -> None:
        declared: dict[str, list[Backend]] = {}
        for resource in resources:
            if isinstance(resource, Backend):
                declared.setdefault(resource.spec.service, []).append(resource)
        for resource in resources:
            if isinstance(resource, Service):
                self._add_service(resource, declared.get(resource.metadata.name, []))

    def _add_service(self, service: Service, declared: list[Backend]) -> None:
        ordered = sorted(declared, key=lambda backend: backend.metadata.name)
        backends = tuple(_compile_backend(service.spec, backend, self._locations) for backend in ordered)
        compiled = CompiledService(
            name=service.metadata.name,
            address=service.spec.address,
            spec=service.spec,
            limits=service.spec.limits,
            backends=backends,
            placeable=tuple(backend for backend in backends if backend.takes_new_flows),
        )
        self.services_by_address[compiled.address] = compiled
        self.services_by_name[compiled.name] = compiled
        for backend in backends:
            self.backends_by_name[backend.name] = backend
            self.backends_by_address[backend.address] = backend

    def updated(
        self, generation: int, changed: Sequence[Resource], removed: Sequence[ResourceKey]
    ) -> CompiledConfiguration:
        """Return the configuration after a change, without touching this one.

        A change of a few back ends costs no encoding, hashing or compiling of
        the others; any other change compiles all from the start.

        :param generation: number of the new generation.
        :param changed: resources that are new or differ; at most one of a key.
        :param removed: keys of resources that are gone; unknown ones are ignored.
        :raises KeyError: if a back end names a hall that is not declared.
        """
        return self.updated_to(
            updated_snapshot(self.snapshot, generation, changed, removed), changed, removed
        )

    def updated_to(
        self,
        snapshot: ConfigurationSnapshot,
        changed: Sequence[Resource],
        removed: Sequence[ResourceKey],
    ) -> CompiledConfiguration:
        """Return the configuration of a snapshot that `updated_snapshot` made from this one.

        :raises KeyError: if a back end names a hall that is not declared.
        """
        backend_kind = Kind.BACKEND.value
        only_backends = all(isinstance(resource, Backend) for resource in changed) and all(
            key.kind == backend_kind for key in removed
        )
        if not only_backends or len(changed) + len(removed) > INCREMENTAL_LIMIT:
            return CompiledConfiguration(snapshot)
        result = self._copy(snapshot)
        names = result._update_backends(changed, removed)
        result.change = ConfigurationChange(self.generation, names)
        return result

    def _copy(self, snapshot: ConfigurationSnapshot) -> CompiledConfiguration:
        result = CompiledConfiguration.__new__(CompiledConfiguration)
        result.snapshot = snapshot
        result.generation = snapshot.generation
        result.digest = snapshot.digest
        result._locations = self._locations
        result.backends_by_name = self.backends_by_name.copy()
        result.backends_by_address = self.backends_by_address.copy()
        result.services_by_address = self.services_by_address.copy()
        result.services_by_name = self.services_by_name.copy()
        return result

    def _update_backends(
        self, changed: Sequence[Resource], removed: Sequence[ResourceKey]
    ) -> tuple[str, ...]:
        names = [resource.metadata.name for resource in changed]
        names.extend(key.name for key in removed)
        before = [self.backends_by_name[name] for name in names if name in self.backends_by_name]
        after = self._compile_changed(changed)
        self._replace_in_indexes(before, after)
        for service in sorted({backend.service for backend in (*before, *after)}):
            self._replace_in_service(service, before, after)
        return tuple(dict.fromkeys(names))

    def _compile_changed(self, changed: Sequence[Resource]) -> list[CompiledBackend]:
        """Compile back ends whose service is declared; the others have no effect."""
        compiled = []
        for resource in changed:
            if not isinstance(resource, Backend):
                continue
            service = self.services_by_name.get(resource.spec.service)
            if service is not None:
                compiled.append(_compile_backend(service.spec, resource, self._locations))
        return compiled

    def _replace_in_indexes(self, before: list[CompiledBackend], after: list[CompiledBackend]) -> None:
        for backend in before:
            self.backends_by_name.pop(backend.name, None)
            self.backends_by_address.pop(backend.address, None)
        for backend in after:
            self.backends_by_name[backend.name] = backend
            self.backends_by_address[backend.address] = backend

    def _replace_in_service(
        self, name: str, before: list[CompiledBackend], after: list[CompiledBackend]
    ) -> None:
        service = self.services_by_name[name]
        gone = [backend.name for backend in before if backend.service == name]
        present = [backend for backend in after if backend.service == name]
        placeable = [backend for backend in present if backend.takes_new_flows]
        replaced = msgspec.structs.replace(
            service,
            backends=edited(service.backends, _backend_name, gone, present),
            placeable=edited(service.placeable, _backend_name, gone, placeable),
        )
        self.services_by_name[name] = replaced
        self.services_by_address[replaced.address] = replaced


def _backend_name(backend: CompiledBackend) -> str:
    return backend.name


def _compile_backend(
    service: ServiceSpec, backend: Backend, locations: dict[str, Location]
) -> CompiledBackend:
    location = locations[backend.spec.hall]
    return CompiledBackend(
        name=backend.metadata.name,
        service=backend.spec.service,
        address=backend.spec.address,
        location=location,
        slots=backend.spec.slots,
        connections=backend.spec.connections,
        weight=backend.spec.weight,
        state=backend.spec.state,
        permitted=is_place_permitted(service, location),
    )


def is_place_permitted(service: ServiceSpec, location: Location) -> bool:
    """Return whether traffic of `service` may go to `location`; denied wins."""
    if any(selector.matches(location) for selector in service.denied):
        return False
    return any(selector.matches(location) for selector in service.permitted)


def resolve_locations(resources: tuple[Resource, ...]) -> dict[str, Location]:
    """Return the location of each hall by its name.

    Halls whose zone is not declared are left out; validation reports them.
    """
    regions = {
        resource.metadata.name: resource.spec.region for resource in resources if isinstance(resource, Zone)
    }
    locations: dict[str, Location] = {}
    for resource in resources:
        if not isinstance(resource, Hall):
            continue
        region = regions.get(resource.spec.zone)
        if region is not None:
            name = resource.metadata.name
            locations[name] = Location(region=region, zone=resource.spec.zone, hall=name)
    return locations


def resource_key(resource: Resource) -> ResourceKey:
    """Return the identity of a resource, which is its sort key as well."""
    return ResourceKey(type(resource).__name__, resource.metadata.name)


def make_snapshot(generation: int, resources: Sequence[Resource]) -> ConfigurationSnapshot:
    """Return a snapshot of `resources`, sorted, with its digest.

    :param generation: number of the generation, 1 or more.
    """
    ordered = tuple(sorted(resources, key=resource_key))
    return ConfigurationSnapshot(generation=generation, digest=digest_of(ordered), resources=ordered)


def updated_snapshot(
    base: ConfigurationSnapshot,
    generation: int,
    changed: Sequence[Resource],
    removed: Sequence[ResourceKey],
) -> ConfigurationSnapshot:
    """Return the snapshot after a change; only what changed is hashed.

    :param changed: resources that are new or differ; at most one of a key.
    :param removed: keys of resources that are gone; unknown ones are ignored.
    """
    keys = {*removed, *map(resource_key, changed)}
    former = [resource for key in keys if (resource := find_resource(base.resources, key)) is not None]
    return ConfigurationSnapshot(
        generation=generation,
        digest=updated_digest(base.digest, added=changed, removed=former),
        resources=edited(base.resources, resource_key, keys, changed),
    )


def find_resource(resources: Sequence[Resource], key: ResourceKey) -> Resource | None:
    """Return the resource of a key among resources sorted by key, None if there is none."""
    position = bisect.bisect_left(resources, key, key=resource_key)
    if position < len(resources) and resource_key(resources[position]) == key:
        return resources[position]
    return None


EMPTY_CONFIGURATION = CompiledConfiguration(make_snapshot(0, []))
"""What is in force before any generation has been read."""

__all__ = [
    "EMPTY_CONFIGURATION",
    "CompiledBackend",
    "CompiledConfiguration",
    "CompiledService",
    "ConfigurationChange",
    "Kind",
    "ResourceKey",
    "find_resource",
    "is_place_permitted",
    "make_snapshot",
    "resolve_locations",
    "resource_key",
    "updated_snapshot",
]

"""A configuration snapshot, indexed for the data path.

`CompiledConfiguration` answers, without any parsing, which back ends a service
has, and which of them its place rules permit.  `is_place_permitted` is the one
place filter of the system; every path that picks a back end goes through it.
"""

from __future__ import annotations

import hashlib

import msgspec

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

_ENCODER = msgspec.json.Encoder(order="deterministic")


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


class CompiledConfiguration:
    """Index of one generation.

    :ivar generation: 0 where nothing is in force yet.
    :ivar services_by_address: virtual address `ip:port` -> service.
    :ivar backends_by_name: name -> back end, of all services.
    :ivar backends_by_address: data address `ip:port` -> back end.
    """

    __slots__ = (
        "backends_by_address",
        "backends_by_name",
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
        self.backends_by_name: dict[str, CompiledBackend] = {}
        self.backends_by_address: dict[str, CompiledBackend] = {}
        self.services_by_address: dict[str, CompiledService] = {}
        self.services_by_name: dict[str, CompiledService] = {}
        self._compile(snapshot.resources)

    def _compile(self, resources: tuple[Resource, ...]) -> None:
        locations = resolve_locations(resources)
        declared: dict[str, list[Backend]] = {}
        for resource in resources:
            if isinstance(resource, Backend):
                declared.setdefault(resource.spec.service, []).append(resource)
        for resource in resources:
            if isinstance(resource, Service):
                self._add_service(resource, declared.get(resource.metadata.name, []), locations)

    def _add_service(
        self,
        service: Service,
        declared: list[Backend],
        locations: dict[str, Location],
    ) -> None:
        ordered = sorted(declared, key=lambda backend: backend.metadata.name)
        backends = tuple(_compile_backend(service.spec, backend, locations) for backend in ordered)
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
        resource.metadata.name: resource.spec.region
        for resource in resources
        if isinstance(resource, Zone)
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


def resource_key(resource: Resource) -> tuple[str, str]:
    """Return the sort key of a resource: its kind, then its name."""
    return (type(resource).__name__, resource.metadata.name)


def make_snapshot(generation: int, resources: list[Resource]) -> ConfigurationSnapshot:
    """Return a snapshot of `resources`, sorted, with its digest.

    :param generation: number of the generation, 1 or more.
    """
    ordered = tuple(sorted(resources, key=resource_key))
    digest = hashlib.blake2b(_ENCODER.encode(ordered), digest_size=16).hexdigest()
    return ConfigurationSnapshot(generation=generation, digest=digest, resources=ordered)


EMPTY_CONFIGURATION = CompiledConfiguration(make_snapshot(0, []))
"""What is in force before any generation has been read."""

__all__ = [
    "EMPTY_CONFIGURATION",
    "CompiledBackend",
    "CompiledConfiguration",
    "CompiledService",
    "Kind",
    "is_place_permitted",
    "make_snapshot",
    "resolve_locations",
    "resource_key",
]

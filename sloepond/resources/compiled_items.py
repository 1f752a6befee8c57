"""The parts of a compiled configuration: services and back ends with their locations.

`is_place_permitted` is the only place filter of the system; every selection of a
back end applies its result.
"""

from __future__ import annotations

import msgspec

from sloepond.resources.model import Backend, BackendState, Location, ServiceSpec


class CompiledBackend(msgspec.Struct, frozen=True, gc=False):
    """One back end of a service, with its location resolved."""

    name: str
    service: str
    address: str
    location: Location
    slots: int
    weight: int
    state: BackendState
    permitted: bool
    """Whether the service's place rules permit this back end's location."""

    @property
    def accepts_new_flows(self) -> bool:
        """Whether the declared state and location allow new flows on this back end."""
        may_accept = self.permitted and not self.location.evacuated
        return may_accept and self.state is BackendState.ACTIVE and self.weight > 0


class CompiledService(msgspec.Struct, frozen=True, gc=False):
    """One service and its back ends, sorted by name."""

    name: str
    address: str
    spec: ServiceSpec
    backends: tuple[CompiledBackend, ...]
    eligible_backends: tuple[CompiledBackend, ...]
    """Back ends that accept new flows: permitted, not evacuated, active, weight above 0."""


def compile_backend(
    service: ServiceSpec, backend: Backend, locations: dict[str, Location]
) -> CompiledBackend:
    """Return a back end with its location resolved and checked against the place rules.

    :raises KeyError: if its hall has no location.
    """
    location = locations[backend.spec.hall]
    return CompiledBackend(
        name=backend.metadata.name,
        service=backend.spec.service,
        address=backend.spec.address,
        location=location,
        slots=backend.spec.slots,
        weight=backend.spec.weight,
        state=backend.spec.state,
        permitted=is_place_permitted(service, location),
    )


def is_place_permitted(service: ServiceSpec, location: Location) -> bool:
    """Return whether traffic of `service` may go to `location`; denied places win over permitted ones."""
    if any(selector.matches(location) for selector in service.denied):
        return False
    return any(selector.matches(location) for selector in service.permitted)


def relocated_backend(
    service: ServiceSpec, backend: CompiledBackend, locations: dict[str, Location]
) -> CompiledBackend:
    """Return a back end after a change of its service or of locations; the same object if it is equal.

    :raises KeyError: if its hall has no location any more.
    """
    location = locations[backend.location.hall]
    permitted = is_place_permitted(service, location)
    if permitted == backend.permitted and location == backend.location:
        return backend
    return msgspec.structs.replace(backend, location=location, permitted=permitted)


def compile_service(
    name: str,
    spec: ServiceSpec,
    backends: tuple[CompiledBackend, ...],
    eligible_backends: tuple[CompiledBackend, ...],
) -> CompiledService:
    """Return a service with its back ends.

    :param backends: sorted by name.
    :param eligible_backends: those that accept new flows, sorted by name.
    """
    return CompiledService(name, spec.address, spec, backends, eligible_backends)

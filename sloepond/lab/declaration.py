"""The resources that the operator of a scenario has declared, published as numbered generations.

Owns the resources.  Relies on `resources.validation`: invalid resources are never published.
"""

from __future__ import annotations

import msgspec

from sloepond.lab.network import make_address
from sloepond.lab.scenario import Scenario, ServiceModel, Topology
from sloepond.resources.content import make_snapshot
from sloepond.resources.model import (
    API_VERSION,
    Backend,
    BackendSpec,
    BackendState,
    ConfigurationSnapshot,
    Hall,
    HallSpec,
    Location,
    Metadata,
    PlaceSelector,
    Region,
    Resource,
    Service,
    ServiceSpec,
    Zone,
    ZoneSpec,
)
from sloepond.resources.validation import validate_snapshot

REGION = "region-1"
ZONE = "zone-1"
SERVICE_NETWORK = "10.90"
"""First two bytes of service addresses."""
BACKEND_NETWORK = "10.91"
"""First two bytes of the addresses of back ends."""
SERVICE_PORT = 9_000
"""Port of every service address."""
BACKEND_PORT = 9_100
"""Port of every back end."""


def hall_locations(topology: Topology) -> list[Location]:
    """Return the locations of all halls; they belong to one zone."""
    return [Location(REGION, ZONE, f"hall-{number + 1}") for number in range(topology.halls)]


class Declaration:
    """The operator's resources; `next_snapshot` makes a generation of the changes.

    :ivar halls: locations of all halls.
    :ivar backends: back ends by name.
    :ivar services: services by name.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.halls = hall_locations(scenario.topology)
        self._resources: list[Resource] = _place_resources(self.halls)
        self.backends: dict[str, Backend] = {}
        self.services: dict[str, Service] = {}
        self._valid_backends: dict[str, Backend] = {}
        self._valid_services: dict[str, Service] = {}
        self._generation = 0
        self._label_changes = 0
        for number, service in enumerate(scenario.services):
            self._add_service(number, service)

    def next_snapshot(self) -> ConfigurationSnapshot | None:
        """Return the current resources as a new generation, or None if they are invalid.

        Invalid resources are replaced by the last valid ones, because an operator whose change is
        refused keeps the previous declaration.
        """
        resources = [*self._resources, *self.services.values(), *self.backends.values()]
        if validate_snapshot(resources):
            self.backends, self.services = dict(self._valid_backends), dict(self._valid_services)
            return None
        self._valid_backends, self._valid_services = dict(self.backends), dict(self.services)
        self._generation += 1
        return make_snapshot(self._generation, resources)

    def set_state(self, backends: tuple[str, ...], state: BackendState) -> None:
        """Set the declared state of back ends."""
        for name in backends:
            backend = self.backends[name]
            spec = msgspec.structs.replace(backend.spec, state=state)
            self.backends[name] = msgspec.structs.replace(backend, spec=spec)

    def change_label(self) -> None:
        """Change a label of the first service, which has no effect on traffic."""
        self._label_changes += 1
        name, service = next(iter(self.services.items()))
        metadata = Metadata(name=name, labels={"change": str(self._label_changes)})
        self.services[name] = msgspec.structs.replace(service, metadata=metadata)

    def _add_service(self, number: int, model: ServiceModel) -> None:
        denied: tuple[PlaceSelector, ...] = ()
        if model.denied_hall:
            denied = (PlaceSelector(hall=f"hall-{model.denied_hall}"),)
        spec = ServiceSpec(
            address=make_address(SERVICE_NETWORK, number, SERVICE_PORT),
            permitted=(PlaceSelector(region=REGION),),
            denied=denied,
        )
        self.services[model.name] = Service(API_VERSION, Metadata(name=model.name), spec)
        for index, name in enumerate(model.backend_names()):
            self._add_backend(model, name, self.halls[index % len(self.halls)].hall)

    def _add_backend(self, model: ServiceModel, name: str, hall: str) -> None:
        number = len(self.backends)
        spec = BackendSpec(
            service=model.name,
            address=make_address(BACKEND_NETWORK, number, BACKEND_PORT),
            hall=hall,
            slots=model.slots,
            connections=model.connections,
        )
        self.backends[name] = Backend(API_VERSION, Metadata(name=name), spec)


def _place_resources(halls: list[Location]) -> list[Resource]:
    region = Region(API_VERSION, Metadata(name=REGION))
    zone = Zone(API_VERSION, Metadata(name=ZONE), ZoneSpec(REGION))
    return [region, zone, *(Hall(API_VERSION, Metadata(name=item.hall), HallSpec(ZONE)) for item in halls)]

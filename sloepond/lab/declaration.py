"""What the operator of a scenario has declared, as resources of growing generations."""

from __future__ import annotations

import msgspec

from sloepond.lab.scenario import Scenario, ServiceModel, Topology
from sloepond.resources.compiled import make_snapshot
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

SERVICE_PORT = 9_000
BACKEND_PORT = 9_100


class HallPlace(msgspec.Struct, frozen=True):
    """One hall: its location and its zone's number from 0."""

    location: Location
    zone: int


def hall_places(topology: Topology) -> list[HallPlace]:
    """Return all halls, numbered through all zones and regions."""
    places = []
    for zone in range(topology.regions * topology.zones_per_region):
        region = f"region-{zone // topology.zones_per_region + 1}"
        for number in range(topology.halls_per_zone):
            hall = f"hall-{zone * topology.halls_per_zone + number + 1}"
            places.append(HallPlace(Location(region, f"zone-{zone + 1}", hall), zone))
    return places


class Declaration:
    """The operator's resources; `next_snapshot` makes each change a generation.

    :ivar places: all halls.
    :ivar backends: by name.
    :ivar services: by name.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.places = hall_places(scenario.topology)
        self._resources: list[Resource] = _place_resources(self.places)
        self.backends: dict[str, Backend] = {}
        self.services: dict[str, Service] = {}
        self._valid_backends: dict[str, Backend] = {}
        self._valid_services: dict[str, Service] = {}
        self._generation = 0
        self._changes = 0
        for number, service in enumerate(scenario.services):
            self._add_service(number, service, scenario.topology)

    def next_snapshot(self) -> ConfigurationSnapshot | None:
        """Return the present resources as a new generation, None where they are not valid.

        As a careful operator does, resources that are not valid are not declared:
        the former ones stay.
        """
        resources = [*self._resources, *self.services.values(), *self.backends.values()]
        if validate_snapshot(resources):
            self.backends, self.services = dict(self._valid_backends), dict(self._valid_services)
            return None
        self._valid_backends, self._valid_services = dict(self.backends), dict(self.services)
        self._generation += 1
        return make_snapshot(self._generation, resources)

    def set_state(self, backends: tuple[str, ...], state: BackendState) -> None:
        """Declare back ends as active or draining."""
        for name in backends:
            backend = self.backends[name]
            spec = msgspec.structs.replace(backend.spec, state=state)
            self.backends[name] = msgspec.structs.replace(backend, spec=spec)

    def change_label(self) -> None:
        """Change something that has no effect on traffic."""
        self._changes += 1
        name, service = next(iter(self.services.items()))
        metadata = Metadata(name=name, labels={"change": str(self._changes)})
        self.services[name] = msgspec.structs.replace(service, metadata=metadata)

    def _add_service(self, number: int, model: ServiceModel, topology: Topology) -> None:
        region = f"region-{number % topology.regions + 1}"
        denied: tuple[PlaceSelector, ...] = ()
        if model.denied_hall:
            denied = (PlaceSelector(hall=f"hall-{model.denied_hall}"),)
        spec = ServiceSpec(
            address=f"10.90.{number // 250}.{number % 250 + 1}:{SERVICE_PORT}",
            permitted=(PlaceSelector(region=region),),
            denied=denied,
        )
        self.services[model.name] = Service(API_VERSION, Metadata(name=model.name), spec)
        halls = [place.location.hall for place in self.places if place.location.region == region]
        for index, name in enumerate(model.backend_names()):
            self._add_backend(model, name, halls[index % len(halls)])

    def _add_backend(self, model: ServiceModel, name: str, hall: str) -> None:
        number = len(self.backends)
        spec = BackendSpec(
            service=model.name,
            address=f"10.91.{number // 250}.{number % 250 + 1}:{BACKEND_PORT}",
            hall=hall,
            slots=model.slots,
            connections=model.connections,
        )
        self.backends[name] = Backend(API_VERSION, Metadata(name=name), spec)


def _place_resources(places: list[HallPlace]) -> list[Resource]:
    resources: dict[str, Resource] = {}
    for place in places:
        location = place.location
        resources[location.region] = Region(API_VERSION, Metadata(name=location.region))
        resources[location.zone] = Zone(API_VERSION, Metadata(name=location.zone), ZoneSpec(location.region))
        resources[location.hall] = Hall(API_VERSION, Metadata(name=location.hall), HallSpec(location.zone))
    return list(resources.values())

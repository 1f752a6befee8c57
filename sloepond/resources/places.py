"""Where halls are, and whether a service may use a place.

Holds no state; relies on the resource types alone.  `is_place_permitted` is the one place
filter of the system: every path that picks a back end goes through it, so that no traffic
reaches a place that an operator has not permitted or has denied.
"""

from __future__ import annotations

from sloepond.resources.model import Hall, Location, Resource, ServiceSpec, Zone, ZoneState


def resolve_locations(resources: tuple[Resource, ...]) -> dict[str, Location]:
    """Return the location of each hall by its name.

    Halls whose zone is not declared are left out; validation reports them.
    """
    zones = {resource.metadata.name: resource.spec for resource in resources if isinstance(resource, Zone)}
    locations: dict[str, Location] = {}
    for resource in resources:
        if not isinstance(resource, Hall):
            continue
        zone = zones.get(resource.spec.zone)
        if zone is not None:
            name = resource.metadata.name
            is_evacuated = zone.state is ZoneState.EVACUATED
            locations[name] = Location(zone.region, resource.spec.zone, name, is_evacuated)
    return locations


def is_place_permitted(service: ServiceSpec, location: Location) -> bool:
    """Return whether traffic of `service` may go to `location`; denied wins."""
    if any(selector.matches(location) for selector in service.denied):
        return False
    return any(selector.matches(location) for selector in service.permitted)

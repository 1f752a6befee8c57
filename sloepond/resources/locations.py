"""Location of each hall: its zone and region.

Relies on the resources alone; validation reports undeclared zones and regions.
"""

from __future__ import annotations

from collections.abc import Sequence

from sloepond.resources.model import Hall, Location, Resource, Zone, ZoneState


def resolve_locations(resources: Sequence[Resource]) -> dict[str, Location]:
    """Return the location of each hall, by the name of the hall.

    Halls whose zone is not declared are omitted.
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

"""Where the flows of a service and of a route may go."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec


class PlaceRules(msgspec.Struct, frozen=True):
    """Permitted zones by service; a service that is not named may go anywhere.

    :ivar regions: region of each zone.
    """

    zones: Mapping[str, frozenset[str]] = {}
    regions: Mapping[str, str] = {}

    def is_permitted(self, service: str, zone: str) -> bool:
        """Tell whether flows of a service may go to a zone."""
        permitted = self.zones.get(service)
        return permitted is None or zone in permitted

    def is_within(self, regions: tuple[str, ...], zone: str) -> bool:
        """Tell whether a zone stands in one of some regions; one of an unknown region does not."""
        return self.regions.get(zone) in regions


ANYWHERE = PlaceRules()

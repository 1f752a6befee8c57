"""Places: the halls and regions to which the flows of a service and of a route may go.

Owns: no state.  Relies on: the settings, which contain the rules; `state.backends` and `eligibility` apply
them.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec


class PlaceRules(msgspec.Struct, frozen=True):
    """Rules on where new flows may go.

    :ivar halls: permitted halls of each service; a service that is not named may use every hall.
    :ivar regions: region of each hall.
    """

    halls: Mapping[str, frozenset[str]] = {}
    regions: Mapping[str, str] = {}

    def is_permitted(self, service: str, hall: str) -> bool:
        """Return whether flows of a service may go to a hall."""
        permitted = self.halls.get(service)
        return permitted is None or hall in permitted

    def is_within(self, regions: tuple[str, ...], hall: str) -> bool:
        """Return whether a hall is in one of the regions; False if the region of the hall is unknown."""
        return self.regions.get(hall) in regions


ANYWHERE = PlaceRules()

"""Places: where the flows of a service and of a route may go.

Owns nothing; the rules come from the settings, `state.backends` and `eligibility` apply them.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec


class PlaceRules(msgspec.Struct, frozen=True):
    """Permitted halls by service; a service that is not named may go anywhere.

    :ivar regions: region of each hall.
    """

    halls: Mapping[str, frozenset[str]] = {}
    regions: Mapping[str, str] = {}

    def is_permitted(self, service: str, hall: str) -> bool:
        """Tell whether flows of a service may go to a hall."""
        permitted = self.halls.get(service)
        return permitted is None or hall in permitted

    def is_within(self, regions: tuple[str, ...], hall: str) -> bool:
        """Tell whether a hall stands in one of some regions; one of an unknown region does not."""
        return self.regions.get(hall) in regions


ANYWHERE = PlaceRules()

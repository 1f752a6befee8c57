"""Where the flows of a service may go."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec


class PlaceRules(msgspec.Struct, frozen=True):
    """Permitted zones by service; a service that is not named may go anywhere."""

    zones: Mapping[str, frozenset[str]] = {}

    def is_permitted(self, service: str, zone: str) -> bool:
        """Tell whether flows of a service may go to a zone."""
        permitted = self.zones.get(service)
        return permitted is None or zone in permitted


ANYWHERE = PlaceRules()

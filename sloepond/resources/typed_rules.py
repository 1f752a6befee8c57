"""Fast validity check of single typed back ends, without findings.

`validate_snapshot` converts each field on its own in order to report all findings.
Resources that were decoded into their types can only violate the rules on values.
These functions detect, at a small part of the cost, the back ends for which the
full check has no findings, so that only the others need the full check.
"""

from __future__ import annotations

import re

from sloepond.resources.addresses import canonical_address
from sloepond.resources.field_rules import NAME_PATTERN, RANGES
from sloepond.resources.model import API_VERSION, Backend, Kind, Status

_OCTET = r"(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_FIRST_OCTET = r"(?:22[0-3]|2[01]\d|1\d\d|[1-9]\d?)"
_PORT = r"(?:[1-5]\d{4}|[1-9]\d{0,3})"
PLAIN_ADDRESS = re.compile(rf"{_FIRST_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}", re.ASCII)
"""Matches common canonical IPv4 addresses; other addresses may be canonical too."""

_RANGES = RANGES[Kind.BACKEND]
_SLOTS = _RANGES[("spec", "slots")]
_CONNECTIONS = _RANGES[("spec", "connections")]
_WEIGHT = _RANGES[("spec", "weight")]
_NO_STATUS = Status()


def is_canonical_address(address: str) -> bool:
    """Return whether an address is valid and written in its canonical form."""
    return PLAIN_ADDRESS.fullmatch(address) is not None or canonical_address(address) == address


def has_valid_fields(backend: Backend) -> bool:
    """Return whether the full check has no findings about the fields of a back end.

    :param backend: its values must be of the declared types.
    """
    spec = backend.spec
    return (
        backend.api_version == API_VERSION
        and backend.status == _NO_STATUS
        and NAME_PATTERN.fullmatch(backend.metadata.name) is not None
        and is_canonical_address(spec.address)
        and _SLOTS.minimum <= spec.slots <= _SLOTS.maximum
        and _CONNECTIONS.minimum <= spec.connections <= _CONNECTIONS.maximum
        and _WEIGHT.minimum <= spec.weight <= _WEIGHT.maximum
    )

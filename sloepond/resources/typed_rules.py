"""Rules about single typed back ends, without findings.

`validate_snapshot` converts each field on its own to report all that is wrong.
For resources that were decoded into their types only the rules on their values
can fail.  These functions tell, at a small part of the cost, for which back ends
the full check has nothing to report; it is asked about the others.
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
"""Addresses that are canonical at first sight; others may be as well."""

_RANGES = RANGES[Kind.BACKEND]
_SLOTS = _RANGES[("spec", "slots")]
_CONNECTIONS = _RANGES[("spec", "connections")]
_WEIGHT = _RANGES[("spec", "weight")]
_NO_STATUS = Status()


def is_canonical_address(address: str) -> bool:
    """Return whether an address is valid and written in its canonical form."""
    return PLAIN_ADDRESS.fullmatch(address) is not None or canonical_address(address) == address


def has_valid_fields(backend: Backend) -> bool:
    """Return whether the full check finds nothing wrong with the back end's own fields.

    :param backend: with values of the declared types.
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

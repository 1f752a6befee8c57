"""Validation rules for single fields: names, addresses and number ranges.

Owns the ranges of the declared numbers.  Relies on a `Declaration` whose field types have been
checked.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

import msgspec

from sloepond.resources.addresses import AddressFailure, canonical_address
from sloepond.resources.declarations import NAME_PATH, Declaration
from sloepond.resources.findings import FieldPath, Finding, show_value
from sloepond.resources.model import Kind

NAME_PATTERN = re.compile(r"[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?")
"""Lower-case letters, digits and inner hyphens; at most 63 characters."""

ADDRESS_PATH: FieldPath = ("spec", "address")
ADDRESSED_KINDS = (Kind.SERVICE, Kind.BACKEND)


class Range(msgspec.Struct, frozen=True):
    """Inclusive limits of a number."""

    minimum: int
    maximum: int


RANGES: dict[Kind, dict[FieldPath, Range]] = {
    Kind.SERVICE: {
        ("spec", "limits", "flows"): Range(1, 10_000_000),
        ("spec", "limits", "requests_in_flight"): Range(1, 10_000_000),
        ("spec", "limits", "request_timeout_ms"): Range(1, 3_600_000),
        ("spec", "limits", "idle_timeout_s"): Range(1, 604_800),
    },
    Kind.BACKEND: {
        ("spec", "slots"): Range(1, 100_000),
        ("spec", "connections"): Range(1, 10_000_000),
        ("spec", "weight"): Range(0, 10_000),
    },
}
"""Ranges by kind and field; durations are in the unit that the field's name ends with."""


def check_fields(declaration: Declaration) -> Iterator[Finding]:
    """Yield the findings about single fields of one declaration."""
    yield from _check_name(declaration)
    yield from _check_address(declaration)
    yield from _check_ranges(declaration)


def _check_name(declaration: Declaration) -> Iterator[Finding]:
    name = declaration.fields.get(NAME_PATH)
    if isinstance(name, str) and not NAME_PATTERN.fullmatch(name):
        reason = (
            f"invalid name {show_value(name)}: write lower-case letters, digits and inner hyphens, 63 at most"
        )
        yield declaration.finding(NAME_PATH, reason)


def _check_address(declaration: Declaration) -> Iterator[Finding]:
    text = declaration.fields.get(ADDRESS_PATH)
    if declaration.kind not in ADDRESSED_KINDS or not isinstance(text, str):
        return
    address = canonical_address(text)
    if isinstance(address, AddressFailure):
        yield declaration.finding(ADDRESS_PATH, f"invalid address {show_value(text)}: {address.reason}")
    elif address != text:
        yield declaration.finding(
            ADDRESS_PATH, f"invalid address {show_value(text)}: write it as {address!r}"
        )


def _check_ranges(declaration: Declaration) -> Iterator[Finding]:
    if declaration.kind is None:
        return
    for path, allowed in RANGES.get(declaration.kind, {}).items():
        value = declaration.fields.get(path)
        if isinstance(value, int) and not allowed.minimum <= value <= allowed.maximum:
            reason = f"{show_value(value)} is not from {allowed.minimum} to {allowed.maximum}"
            yield declaration.finding(path, reason)

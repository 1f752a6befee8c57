"""What is read of a report of the bench (`run SITE DAY --report FILE`) and of a site file.

Names of fields are those of these files; times in seconds where a name doesn't say
otherwise.  Fields that nothing here needs are left out.
"""

from __future__ import annotations

import pathlib

import msgspec


class Price(msgspec.Struct, array_like=True):
    """One price: what for, how much of it, and the worth taken off."""

    name: str
    amount: float
    worth: float


class Part(msgspec.Struct, array_like=True):
    """One part of a day's worth: its weight in the site's goal and its share of the credit."""

    name: str
    weight: float
    share: float | None


class Slice(msgspec.Struct):
    """Requests of one kind, zone or window; `worth` is their share of the credit owed."""

    name: str
    n: int
    worth: float
    p50_ms: float
    late: int = 0
    refused: int = 0
    failed: int = 0


class Event(msgspec.Struct):
    """One disturbance or planned change."""

    at_s: float
    to_s: float
    kind: str
    what: str | float | None


class Touch(msgspec.Struct):
    """When machines were out of touch: spans as text, by machine."""

    out: dict[str, str]


class DayReport(msgspec.Struct, rename={"worth": "G"}):
    """One day."""

    worth: float
    parts: list[Part]
    prices: list[Price]
    classes: list[Slice]
    zones: list[Slice]
    windows: list[Slice]
    events: list[Event]
    touch: Touch


class SiteClass(msgspec.Struct):
    """One kind of request."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float
    late_worth: float
    retries: int


class SiteBounds(msgspec.Struct):
    """Bounds of a site."""

    touch_ms: float


class Site(msgspec.Struct):
    """One site file."""

    classes: list[SiteClass]
    bounds: SiteBounds


def read_report(path: pathlib.Path) -> DayReport:
    """Read a report; raises `msgspec.MsgspecError` where it isn't one."""
    return msgspec.json.decode(path.read_bytes(), type=DayReport)


def read_site(path: pathlib.Path) -> Site:
    """Read a site file; raises `msgspec.MsgspecError` where it isn't one."""
    return msgspec.toml.decode(path.read_bytes(), type=Site)

"""Types for the simulator's reports (`run SITE SCENARIO --report FILE`) and site files.

Field names are those of the files; times are in seconds unless the name states another unit.
Fields that are not used here are omitted.  A score is called `worth` in these files.
"""

from __future__ import annotations

import pathlib

import msgspec


class Price(msgspec.Struct, array_like=True):
    """One cost item: its name, its amount and the score deducted for it."""

    name: str
    amount: float
    worth: float


class Part(msgspec.Struct, array_like=True):
    """One component of a run's score: its weight in the site's goal and the share achieved."""

    name: str
    weight: float
    share: float | None


class RequestGroup(msgspec.Struct):
    """Requests of one kind, zone or window; `worth` is the achieved share of their maximum score."""

    name: str
    n: int
    worth: float
    p50_ms: float
    late: int = 0
    refused: int = 0
    failed: int = 0


class Event(msgspec.Struct):
    """One fault or planned change."""

    at_s: float
    to_s: float
    kind: str
    what: str | float | None


class ContactLoss(msgspec.Struct):
    """Time spans in which machines were out of contact, as text, by machine."""

    out: dict[str, str]


class RunReport(msgspec.Struct, rename={"worth": "G"}):
    """Report of one simulated run; the file calls the total score `G`."""

    worth: float
    parts: list[Part]
    prices: list[Price]
    classes: list[RequestGroup]
    zones: list[RequestGroup]
    windows: list[RequestGroup]
    events: list[Event]
    touch: ContactLoss


class SiteClass(msgspec.Struct):
    """One kind of request and its limits."""

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


def read_report(path: pathlib.Path) -> RunReport:
    """Read a report.

    :raises msgspec.MsgspecError: if the file is not a report.
    """
    return msgspec.json.decode(path.read_bytes(), type=RunReport)


def read_site(path: pathlib.Path) -> Site:
    """Read a site file.

    :raises msgspec.MsgspecError: if the file is not a site file.
    """
    return msgspec.toml.decode(path.read_bytes(), type=Site)

"""Plans of the flows that a stand-in client opens, drawn from a seeded random source.

Stateless; the same seed and settings give the same plans.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Sequence

import msgspec

from sloepond.standins.caller_plan import FlowPlan, RequestPlan
from sloepond.standins.content import FEED_PAYLOAD, download_payload

_NOTE_BYTES = 24
"""Random bytes of a note, enough that no two notes are equal."""
_DOWNLOAD_BYTES = (4_000, 40_000)
"""Minimum and maximum size of a download, 5 to 41 parts of an answer."""
_FEED_SHARE = 0.3
"""Share of flows that subscribe to a feed; with `_DOWNLOAD_SHARE` it makes every kind of flow common."""
_DOWNLOAD_SHARE = 0.3
"""Share of flows that request downloads; the remaining ones send notes."""


class WorkloadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Number, timing and length of the flows that a client opens.

    :ivar flows: total number of flows.
    :ivar opening_s: time over which they are opened, in seconds.
    :ivar lifetime_s: time for which a flow keeps sending requests, in seconds.
    :ivar pause_s: mean time between the requests of a flow, in seconds.
    """

    flows: int = 300
    opening_s: float = 10.0
    lifetime_s: float = 15.0
    pause_s: float = 1.5


class CalledService(msgspec.Struct, frozen=True):
    """A service that a client calls."""

    name: str
    address: str


class PlannedFlow(msgspec.Struct, frozen=True):
    """A flow and the time at which it is opened, in seconds after the start."""

    opens_at: float
    service: CalledService
    plan: FlowPlan


class _FlowShape(enum.Enum):
    """Kind of the requests of a flow."""

    FEED = "feed"
    DOWNLOADS = "downloads"
    NOTES = "notes"


def plan_workload(
    services: Sequence[CalledService], settings: WorkloadSettings, random_source: random.Random
) -> list[PlannedFlow]:
    """Return the flows to open, ordered by time, with the services in rotation.

    :param services: at least one.
    """
    spacing = settings.opening_s / max(settings.flows, 1)
    return [
        PlannedFlow(
            opens_at=index * spacing,
            service=services[index % len(services)],
            plan=_plan_flow(settings, random_source),
        )
        for index in range(settings.flows)
    ]


def _plan_flow(settings: WorkloadSettings, random_source: random.Random) -> FlowPlan:
    shape = _draw_shape(random_source)
    requests = [RequestPlan(FEED_PAYLOAD, repeatable=True)] if shape is _FlowShape.FEED else []
    elapsed = 0.0
    while elapsed < settings.lifetime_s:
        pause_s = random_source.uniform(0.5, 1.5) * settings.pause_s
        elapsed += pause_s
        requests.append(_plan_request(shape, pause_s, random_source))
    return FlowPlan(tuple(requests))


def _draw_shape(random_source: random.Random) -> _FlowShape:
    drawn = random_source.random()
    if drawn < _FEED_SHARE:
        return _FlowShape.FEED
    if drawn < _FEED_SHARE + _DOWNLOAD_SHARE:
        return _FlowShape.DOWNLOADS
    return _FlowShape.NOTES


def _plan_request(shape: _FlowShape, pause_s: float, random_source: random.Random) -> RequestPlan:
    if shape is _FlowShape.DOWNLOADS:
        payload = download_payload(random_source.randint(*_DOWNLOAD_BYTES))
        return RequestPlan(payload, repeatable=True, pause_s=pause_s)
    return RequestPlan(random_source.randbytes(_NOTE_BYTES), repeatable=False, pause_s=pause_s)

"""Splits the worth that a played day misses by what it was lost to.

    python benchmarks/attainable.py SITE.toml REPORT.json ...

A report is what the bench writes with `run SITE DAY --report FILE`.  The first lines of
its table are prices, the others the credit of requests, with the weights of the site's
goal.  Per window of two seconds: what `outage_model` loses with balancers that forward
from the moment the platform starts them; what it loses more with `START_S` until they do;
then what back ends that were disturbed then can have cost, then what disturbed balancers
can, and the rest.  Only the first two are computed; what is left in a window with
disturbances is put down to them whole, though some of it may be ours.
"""

from __future__ import annotations

import pathlib
import random
import sys

import msgspec
from day_report import DayReport, Event, Site, Slice, read_report, read_site
from outage_model import Outage, OutageModel, RequestKind

WINDOW_S = 2.0
SEED = 1
START_S = 0.13
"""From the start of a process to its first forwarded packet: the interpreter, imports and
two reads of the store, as logs of fcht-lb's trouble-1 show it."""
FIXED_PRICES = frozenset({"machine-seconds", "new connections to servers"})
"""Prices that follow from the number of machines and what callers do."""
BACKEND_KINDS = ("srv_", "replace_with_reuse")
BALANCER_KINDS = ("node_", "core_cut", "herd_kill", "after_ack_kill", "lossy")
STOPPING_KINDS = ("node_kill", "herd_kill", "after_ack_kill", "closing")
"""Disturbances that end processes; the others leave them running."""
AFTERMATH_S = 2.0
"""How long after its end a disturbance may still explain a loss."""
LEAST_LOSS = 0.5
"""Requests below which a window's loss is not looked at."""


class Split(msgspec.Struct):
    """Worth missed on a day, by what it was lost to; in worth."""

    fixed_prices: float = 0.0
    other_prices: float = 0.0
    outages: float = 0.0
    start: float = 0.0
    backends: float = 0.0
    balancers: float = 0.0
    rest: float = 0.0


def main() -> None:
    """Print the table of the reports named on the command line."""
    site = read_site(pathlib.Path(sys.argv[1]))
    print("| report | worth | fixed prices | other prices | outages | start | back ends | balancers | rest |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in sys.argv[2:]:
        report = read_report(pathlib.Path(name))
        split = split_day(site, report)
        figures = " | ".join(f"{value:.4f}" for value in msgspec.structs.astuple(split))
        print(f"| {pathlib.Path(name).stem} | {report.worth:.4f} | {figures} |")


def split_day(site: Site, report: DayReport) -> Split:
    """Split what one day misses."""
    split = Split()
    for price in report.prices:
        if price.name in FIXED_PRICES:
            split.fixed_prices += price.worth
        else:
            split.other_prices += price.worth
    lost = _lost_requests(site, report)
    missed = sum(part.weight * (1.0 - part.share) for part in report.parts if part.share is not None)
    total = lost.outages + lost.start + lost.backends + lost.balancers + lost.rest
    scale = missed / total if total else 0.0
    split.outages = lost.outages * scale
    split.start = lost.start * scale
    split.backends = lost.backends * scale
    split.balancers = lost.balancers * scale
    split.rest = lost.rest * scale
    return split


def _lost_requests(site: Site, report: DayReport) -> Split:
    """Return the requests lost, by cause."""
    outages = _outages(site, report)
    expected = ExpectedLoss(site, report, outages)
    lost = Split()
    for window in report.windows:
        begin = float(window.name)
        missing = window.n * (1.0 - window.worth)
        if missing < LEAST_LOSS:
            lost.rest += missing
            continue
        in_outages = min(expected.in_outages(window), missing)
        in_starts = min(expected.until_started(window), missing) - in_outages
        lost.outages += in_outages
        lost.start += max(in_starts, 0.0)
        missing -= in_outages + max(in_starts, 0.0)
        causes = [event.kind for event in report.events if _may_explain(event, begin)]
        if any(kind.startswith(BACKEND_KINDS) for kind in causes):
            lost.backends += missing
        elif any(kind.startswith(BALANCER_KINDS) for kind in causes):
            lost.balancers += missing
        else:
            lost.rest += missing
    return lost


class ExpectedLoss:
    """What the model of outages loses in a window, in requests."""

    def __init__(self, site: Site, report: DayReport, outages: list[Outage]) -> None:
        zones = _zones(report)
        longer = [Outage(outage.balancer, outage.begin, outage.end + START_S) for outage in outages]
        self._at_once = OutageModel(zones, outages, random.Random(SEED))
        self._started = OutageModel(zones, longer, random.Random(SEED))
        self._kinds = _request_kinds(site, report)
        self._zone_shares = {zone.name: float(zone.n) for zone in report.zones}

    def in_outages(self, window: Slice) -> float:
        """Return the loss with processes that forward as soon as they are started."""
        return self._lost(self._at_once, window)

    def until_started(self, window: Slice) -> float:
        """Return the loss with processes that need `START_S` to start."""
        return self._lost(self._started, window)

    def _lost(self, model: OutageModel, window: Slice) -> float:
        begin = float(window.name)
        share = model.lost_share(self._kinds, self._zone_shares, begin, begin + WINDOW_S)
        return window.n * share


def _may_explain(event: Event, begin: float) -> bool:
    """Tell whether an event can explain a loss in the window that begins then."""
    return event.at_s < begin + WINDOW_S and begin < event.to_s + AFTERMATH_S


def _zones(report: DayReport) -> dict[str, list[str]]:
    """Return the balancers of each zone; a balancer's name holds that of its zone."""
    members: dict[str, list[str]] = {zone.name: [] for zone in report.zones}
    for balancer in report.touch.out:
        for zone, names in members.items():
            if f"-{zone}-" in balancer:
                names.append(balancer)
    return members


def _outages(site: Site, report: DayReport) -> list[Outage]:
    """Return when processes that were ended did not run.

    A balancer counts as out of touch from the disturbance until `touch_ms` after its
    process was started again.
    """
    contact_s = site.bounds.touch_ms / 1000.0
    outages = []
    for balancer, spans in report.touch.out.items():
        for span in spans.split(", "):
            begin, end = (float(part) for part in span.split(" to "))
            if begin < 0.0:
                outages.append(Outage(balancer, begin, end - contact_s))
                continue
            outages.extend(
                Outage(balancer, event.at_s, end - contact_s)
                for event in report.events
                if begin <= event.at_s < end and _ends_process(event, balancer)
            )
    return outages


def _ends_process(event: Event, balancer: str) -> bool:
    if not event.kind.startswith(STOPPING_KINDS):
        return False
    struck = str(event.what)
    return event.kind.startswith("closing") or balancer in struck.split(", ") or " more" in struck


def _request_kinds(site: Site, report: DayReport) -> list[RequestKind]:
    total = sum(seen.n for seen in report.classes)
    seen_by_name = {seen.name: seen for seen in report.classes}
    return [
        RequestKind(
            seen_by_name[kind.name].n / total,
            kind.aim_ms / 1000.0,
            kind.deadline_ms / 1000.0,
            seen_by_name[kind.name].p50_ms / 1000.0,
            kind.worth,
            kind.late_worth / kind.worth,
            1 + kind.retries,
        )
        for kind in site.classes
        if kind.name in seen_by_name
    ]


if __name__ == "__main__":
    main()

"""Splits the worth that a played day misses by what it was lost to.

    python benchmarks/attainable.py [--start-s SECONDS] SITE.toml REPORT.json ...

A report is what the bench writes with `run SITE DAY --report FILE`.  The first columns of
its table are prices, the others the credit of requests and the share served at all (nines),
with the weights of the site's goal.  Per window of two seconds: what `outage_model` loses
with balancers that forward as soon as the platform starts them; what it loses more
with `--start-s` until they do; then what back ends that were disturbed then can have cost,
then what disturbed balancers can, and the rest.  Only the first two are computed; what is
left in a window with disturbances is put down to them whole, though some of it may be ours.
What the nines miss is split by the requests that were not served, window by window, in the
same shares.  A second table lists the windows in which requests were not served.
"""

from __future__ import annotations

import pathlib
import random

import defopt
import msgspec
from day_report import DayReport, Event, Site, Slice, read_report, read_site
from outage_model import Outage, OutageModel, RequestKind

WINDOW_S = 2.0
"""Length of the report's windows, in seconds."""
SEED = 1
"""Seed of the model's draws: the same report gives the same table."""
START_S = 0.13
"""From the start of a process to its first forwarded packet, if not told: the interpreter,
imports and two reads of the store, as logs of fcht-lb's trouble-1 show it."""
NINES = "nines"
"""Name of the part of the goal that counts requests served at all."""
FIXED_PRICES = frozenset({"machine-seconds", "new connections to servers"})
"""Prices that follow from the number of machines and what callers do."""
# What the kinds of disturbances begin with that hit back ends, balancers, and balancers' processes.
BACKEND_KINDS = ("srv_", "replace_with_reuse")
BALANCER_KINDS = ("node_", "core_cut", "herd_kill", "after_ack_kill", "lossy")
STOPPING_KINDS = ("node_kill", "herd_kill", "after_ack_kill", "closing")
"""The other kinds leave processes running."""
AFTERMATH_S = 2.0
"""How long after its end a disturbance may still explain a loss, in seconds.  Not measured: one window."""
LEAST_LOSS = 0.5
"""Requests below which a window's loss counts as the rest.  Not measured: less than one request."""


class Split(msgspec.Struct):
    """Worth missed on a day, by what it was lost to; in worth."""

    fixed_prices: float = 0.0
    calls: float = 0.0
    zone_bytes: float = 0.0
    other_prices: float = 0.0
    outages: float = 0.0
    start: float = 0.0
    backends: float = 0.0
    balancers: float = 0.0
    rest: float = 0.0


CAUSES = ("outages", "start", "backends", "balancers", "rest")
"""Fields of a split that are about requests."""


def main(site: pathlib.Path, *reports: pathlib.Path, start_s: float = START_S) -> None:
    """Print the tables of some days of a site.

    :param start_s: from the start of a process to its first forwarded packet, in seconds.
    """
    names = [name.replace("_", " ") for name in Split.__struct_fields__]
    print("| report | worth |", " | ".join(names), "|")
    print("| --- " * (2 + len(names)) + "|")
    days = {path.stem: read_report(path) for path in reports}
    goal = read_site(site)
    for name, report in days.items():
        split = split_day(goal, report, start_s)
        figures = " | ".join(f"{value:.4f}" for value in msgspec.structs.astuple(split))
        print(f"| {name} | {report.worth:.4f} | {figures} |")
    print("\n| report | from second | not served | late | under way then |")
    print("| --- " * 5 + "|")
    for name, report in days.items():
        for line in unserved_windows(report):
            print(f"| {name} | {line} |")


def split_day(site: Site, report: DayReport, start_s: float) -> Split:
    """Split what one day misses."""
    split = Split()
    for price in report.prices:
        if price.name in FIXED_PRICES:
            split.fixed_prices += price.worth
        elif price.name == "cloud calls":
            split.calls += price.worth
        elif price.name == "GB between zones":
            split.zone_bytes += price.worth
        else:
            split.other_prices += price.worth
    windows = _lost_by_window(site, report, start_s)
    missed = {part.name: part.weight * (1.0 - part.share) for part in report.parts if part.share is not None}
    in_nines = missed.pop(NINES, 0.0)
    credits = [_lost(lost) for _, lost in windows]
    _add_scaled(split, windows, credits, sum(missed.values()))
    unserved = [float(window.failed + window.refused) for window, _ in windows]
    _add_scaled(split, windows, unserved, in_nines)
    return split


def unserved_windows(report: DayReport) -> list[str]:
    """Return a line for each window in which requests were not served."""
    lines = []
    for window in report.windows:
        unserved = window.failed + window.refused
        if unserved:
            begin = float(window.name)
            kinds = sorted({event.kind for event in report.events if _may_explain(event, begin)})
            lines.append(f"{window.name} | {unserved} | {window.late} | {', '.join(kinds)}")
    return lines


def _add_scaled(
    split: Split, windows: list[tuple[Slice, Split]], amounts: list[float], missed: float
) -> None:
    """Add what is missed to the causes, as much for each window as its amount says."""
    total = sum(amounts)
    for (_, lost), amount in zip(windows, amounts, strict=True):
        in_window = _lost(lost)
        if not total or not in_window:
            continue
        for cause in CAUSES:
            part = missed * amount / total * getattr(lost, cause) / in_window
            setattr(split, cause, getattr(split, cause) + part)


def _lost(split: Split) -> float:
    """Return the requests lost in all."""
    return float(sum(getattr(split, cause) for cause in CAUSES))


def _lost_by_window(site: Site, report: DayReport, start_s: float) -> list[tuple[Slice, Split]]:
    """Return the requests lost in each window, by cause."""
    expected = ExpectedLoss(site, report, _outages(site, report), start_s)
    return [(window, _lost_in(window, report, expected)) for window in report.windows]


def _lost_in(window: Slice, report: DayReport, expected: ExpectedLoss) -> Split:
    lost = Split()
    begin = float(window.name)
    missing = window.n * (1.0 - window.worth)
    if missing < LEAST_LOSS:
        lost.rest += missing
        return lost
    lost.outages = min(expected.in_outages(window), missing)
    lost.start = max(0.0, min(expected.until_started(window), missing) - lost.outages)
    missing -= lost.outages + lost.start
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

    def __init__(self, site: Site, report: DayReport, outages: list[Outage], start_s: float) -> None:
        zones = _zones(report)
        longer = [Outage(outage.balancer, outage.begin, outage.end + start_s) for outage in outages]
        self._at_once = OutageModel(zones, outages, random.Random(SEED))
        self._started = OutageModel(zones, longer, random.Random(SEED))
        self._kinds = _request_kinds(site, report)
        self._zone_shares = {zone.name: float(zone.n) for zone in report.zones}

    def in_outages(self, window: Slice) -> float:
        """Return the loss with processes that forward as soon as they are started."""
        return self._lost(self._at_once, window)

    def until_started(self, window: Slice) -> float:
        """Return the loss with processes that need `start_s` to start."""
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
    defopt.run(main)

"""Attributes the score that a simulated run loses to causes.

    python benchmarks/attainable.py [--start-s SECONDS] SITE.toml REPORT.json ...

The simulator writes a report with `run SITE SCENARIO --report FILE`.  The first columns of the
table are cost items.  The others are losses of requests and of availability (nines, the share of
requests served at all), with the weights of the site's goal.  They are computed for windows of two
seconds, in this order: the loss of `outage_model` with balancers that forward as soon as the platform
starts them; the additional loss if they need `--start-s` to start; the remaining loss if a fault of
back ends can have caused it; the remaining loss if a fault of balancers can have caused it; the rest.
Only the first two are computed.  The remaining loss of a window with faults is attributed to the
faults entirely, although a part of it may be caused by the balancer itself.  The loss of availability
is distributed over the windows by the number of unserved requests, and within a window in the same
shares.  A second table lists the windows with unserved requests.
"""

from __future__ import annotations

import pathlib
import random

import defopt
import msgspec
from day_report import Event, RequestGroup, RunReport, Site, read_report, read_site
from outage_model import Outage, OutageModel, RequestKind

WINDOW_S = 2.0
"""Length of the report's windows."""
SEED = 1
"""Seed of the model's random source, so that the same report produces the same table."""
DEFAULT_START_S = 0.13
"""Default time from the start of a process to its first forwarded packet: the start of the
interpreter, imports and two reads of the store."""
NINES = "nines"
"""Name of the goal's component that counts requests served at all."""
FIXED_PRICES = frozenset({"machine-seconds", "new connections to servers"})
"""Cost items that depend only on the number of machines and the callers' behaviour."""
# Prefixes of the kinds of faults that affect back ends, balancers, and balancers' processes.
BACKEND_KINDS = ("srv_", "replace_with_reuse")
BALANCER_KINDS = ("node_", "core_cut", "herd_kill", "after_ack_kill", "lossy")
STOPPING_KINDS = ("node_kill", "herd_kill", "after_ack_kill", "closing")
"""Faults that end processes; the other kinds leave them running."""
MAXIMUM_EFFECT_DELAY_S = 2.0
"""Time after the end of a fault in which it may still cause a loss: one window."""
MINIMUM_LOSS_REQUESTS = 0.5
"""A smaller loss of a window counts as the rest, since it is less than one request."""


class Split(msgspec.Struct):
    """Score lost in a run, or requests lost in a window, by cause."""

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
"""Fields of a split that concern requests."""


def main(site: pathlib.Path, *reports: pathlib.Path, start_s: float = DEFAULT_START_S) -> None:
    """Print the tables of runs of a site.

    :param site: site file of the runs.
    :param reports: reports of the runs.
    :param start_s: time from the start of a process to its first forwarded packet, in seconds.
    """
    names = [name.replace("_", " ") for name in Split.__struct_fields__]
    print("| report | score |", " | ".join(names), "|")
    print("| --- " * (2 + len(names)) + "|")
    reports_by_name = {path.stem: read_report(path) for path in reports}
    goal = read_site(site)
    for name, report in reports_by_name.items():
        split = split_run(goal, report, start_s)
        figures = " | ".join(f"{value:.4f}" for value in msgspec.structs.astuple(split))
        print(f"| {name} | {report.worth:.4f} | {figures} |")
    print("\n| report | from second | not served | late | active events |")
    print("| --- " * 5 + "|")
    for name, report in reports_by_name.items():
        for line in unserved_windows(report):
            print(f"| {name} | {line} |")


def split_run(site: Site, report: RunReport, start_s: float) -> Split:
    """Return the score that one run loses, by cause."""
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


def unserved_windows(report: RunReport) -> list[str]:
    """Return a table row for each window with unserved requests."""
    lines = []
    for window in report.windows:
        unserved = window.failed + window.refused
        if unserved:
            begin = float(window.name)
            kinds = sorted({event.kind for event in report.events if _may_cause_loss(event, begin)})
            lines.append(f"{window.name} | {unserved} | {window.late} | {', '.join(kinds)}")
    return lines


def _add_scaled(
    split: Split, windows: list[tuple[RequestGroup, Split]], amounts: list[float], missed: float
) -> None:
    """Distribute a lost score over the windows in proportion to `amounts`, and over their causes."""
    total = sum(amounts)
    for (_, lost), amount in zip(windows, amounts, strict=True):
        in_window = _lost(lost)
        if not total or not in_window:
            continue
        for cause in CAUSES:
            part = missed * amount / total * getattr(lost, cause) / in_window
            setattr(split, cause, getattr(split, cause) + part)


def _lost(split: Split) -> float:
    """Return the total number of lost requests."""
    return float(sum(getattr(split, cause) for cause in CAUSES))


def _lost_by_window(site: Site, report: RunReport, start_s: float) -> list[tuple[RequestGroup, Split]]:
    """Return the requests lost in each window, by cause."""
    expected = ExpectedLoss(site, report, _outages(site, report), start_s)
    return [(window, _lost_in(window, report, expected)) for window in report.windows]


def _lost_in(window: RequestGroup, report: RunReport, expected: ExpectedLoss) -> Split:
    lost = Split()
    begin = float(window.name)
    missing = window.n * (1.0 - window.worth)
    if missing < MINIMUM_LOSS_REQUESTS:
        lost.rest += missing
        return lost
    lost.outages = min(expected.in_outages(window), missing)
    lost.start = max(0.0, min(expected.until_started(window), missing) - lost.outages)
    missing -= lost.outages + lost.start
    causes = [event.kind for event in report.events if _may_cause_loss(event, begin)]
    if any(kind.startswith(BACKEND_KINDS) for kind in causes):
        lost.backends += missing
    elif any(kind.startswith(BALANCER_KINDS) for kind in causes):
        lost.balancers += missing
    else:
        lost.rest += missing
    return lost


class ExpectedLoss:
    """Expected loss of a window according to the outage model, in requests."""

    def __init__(self, site: Site, report: RunReport, outages: list[Outage], start_s: float) -> None:
        zones = _zones(report)
        outages_with_start = [
            Outage(outage.balancer, outage.begin, outage.end + start_s) for outage in outages
        ]
        self._immediate = OutageModel(zones, outages, random.Random(SEED))
        self._delayed = OutageModel(zones, outages_with_start, random.Random(SEED))
        self._kinds = _request_kinds(site, report)
        self._zone_shares = {zone.name: float(zone.n) for zone in report.zones}

    def in_outages(self, window: RequestGroup) -> float:
        """Return the loss if processes forward as soon as they are started."""
        return self._lost(self._immediate, window)

    def until_started(self, window: RequestGroup) -> float:
        """Return the loss if processes need `start_s` to start."""
        return self._lost(self._delayed, window)

    def _lost(self, model: OutageModel, window: RequestGroup) -> float:
        begin = float(window.name)
        share = model.lost_share(self._kinds, self._zone_shares, begin, begin + WINDOW_S)
        return window.n * share


def _may_cause_loss(event: Event, begin: float) -> bool:
    """Return whether an event may have caused a loss in the window that starts at `begin`."""
    return event.at_s < begin + WINDOW_S and begin < event.to_s + MAXIMUM_EFFECT_DELAY_S


def _zones(report: RunReport) -> dict[str, list[str]]:
    """Return the balancers of each zone; the name of a balancer contains the name of its zone."""
    members: dict[str, list[str]] = {zone.name: [] for zone in report.zones}
    for balancer in report.touch.out:
        for zone, names in members.items():
            if f"-{zone}-" in balancer:
                names.append(balancer)
    return members


def _outages(site: Site, report: RunReport) -> list[Outage]:
    """Return the periods in which processes that were ended did not run.

    The report counts a balancer as out of contact from the fault until `touch_ms` after its
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
    affected = str(event.what)
    return event.kind.startswith("closing") or balancer in affected.split(", ") or " more" in affected


def _request_kinds(site: Site, report: RunReport) -> list[RequestKind]:
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

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

import json
import pathlib
import random
import sys
import tomllib
from typing import Any

import msgspec
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


class Disturbance(msgspec.Struct, frozen=True):
    """One entry of a report's list of what happened."""

    kind: str
    begin: float
    end: float
    what: str

    def touches(self, begin: float, end: float) -> bool:
        """Tell whether it can explain a loss in a window."""
        return self.begin < end and begin < self.end + AFTERMATH_S


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
    site = tomllib.loads(pathlib.Path(sys.argv[1]).read_text())
    print("| report | worth | fixed prices | other prices | outages | start | back ends | balancers | rest |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in sys.argv[2:]:
        report = json.loads(pathlib.Path(name).read_text())
        split = split_day(site, report)
        figures = " | ".join(f"{value:.4f}" for value in msgspec.structs.astuple(split))
        print(f"| {pathlib.Path(name).stem} | {report['G']:.4f} | {figures} |")


def split_day(site: dict[str, Any], report: dict[str, Any]) -> Split:
    """Split what one day misses."""
    split = Split()
    for name, _, price in report["prices"]:
        if name in FIXED_PRICES:
            split.fixed_prices += price
        else:
            split.other_prices += price
    lost = _lost_requests(site, report)
    missed = sum(weight * (1.0 - share) for _, weight, share in report["parts"] if share is not None)
    total = lost.outages + lost.start + lost.backends + lost.balancers + lost.rest
    scale = missed / total if total else 0.0
    split.outages = lost.outages * scale
    split.start = lost.start * scale
    split.backends = lost.backends * scale
    split.balancers = lost.balancers * scale
    split.rest = lost.rest * scale
    return split


def _lost_requests(site: dict[str, Any], report: dict[str, Any]) -> Split:
    """Return the requests lost, by cause."""
    disturbances = _disturbances(report)
    outages = _outages(report, disturbances, site)
    expected = ExpectedLoss(site, report, outages)
    lost = Split()
    for window in report["windows"]:
        begin = float(window["name"])
        missing = window["n"] * (1.0 - window["worth"])
        if missing < LEAST_LOSS:
            lost.rest += missing
            continue
        in_outages = min(expected.in_outages(window), missing)
        in_starts = min(expected.until_started(window), missing) - in_outages
        lost.outages += in_outages
        lost.start += max(in_starts, 0.0)
        missing -= in_outages + max(in_starts, 0.0)
        causes = [entry.kind for entry in disturbances if entry.touches(begin, begin + WINDOW_S)]
        if any(kind.startswith(BACKEND_KINDS) for kind in causes):
            lost.backends += missing
        elif any(kind.startswith(BALANCER_KINDS) for kind in causes):
            lost.balancers += missing
        else:
            lost.rest += missing
    return lost


class ExpectedLoss:
    """What the model of outages loses in a window, in requests."""

    def __init__(self, site: dict[str, Any], report: dict[str, Any], outages: list[Outage]) -> None:
        zones = _zones(report)
        longer = [Outage(outage.balancer, outage.begin, outage.end + START_S) for outage in outages]
        self._at_once = OutageModel(zones, outages, random.Random(SEED))
        self._started = OutageModel(zones, longer, random.Random(SEED))
        self._kinds = _request_kinds(site, report)
        self._zone_shares = {zone["name"]: float(zone["n"]) for zone in report["zones"]}

    def in_outages(self, window: dict[str, Any]) -> float:
        """Return the loss with processes that forward as soon as they are started."""
        return self._lost(self._at_once, window)

    def until_started(self, window: dict[str, Any]) -> float:
        """Return the loss with processes that need `START_S` to start."""
        return self._lost(self._started, window)

    def _lost(self, model: OutageModel, window: dict[str, Any]) -> float:
        begin = float(window["name"])
        share = model.lost_share(self._kinds, self._zone_shares, begin, begin + WINDOW_S)
        return float(window["n"] * share)


def _disturbances(report: dict[str, Any]) -> list[Disturbance]:
    return [
        Disturbance(entry["kind"], entry["at_s"], entry["to_s"], str(entry["what"]))
        for entry in report["events"]
    ]


def _zones(report: dict[str, Any]) -> dict[str, list[str]]:
    """Return the balancers of each zone; a balancer's name holds that of its zone."""
    members: dict[str, list[str]] = {zone["name"]: [] for zone in report["zones"]}
    for balancer in report["touch"]["out"]:
        for zone, names in members.items():
            if f"-{zone}-" in balancer:
                names.append(balancer)
    return members


def _outages(report: dict[str, Any], disturbances: list[Disturbance], site: dict[str, Any]) -> list[Outage]:
    """Return when processes that were ended did not run.

    A balancer counts as out of touch from the disturbance until `touch_ms` after its
    process was started again.
    """
    contact_s = site["bounds"]["touch_ms"] / 1000.0
    outages = []
    for balancer, spans in report["touch"]["out"].items():
        for span in spans.split(", "):
            begin, end = (float(part) for part in span.split(" to "))
            if begin < 0.0:
                outages.append(Outage(balancer, begin, end - contact_s))
                continue
            for entry in disturbances:
                is_ended = entry.kind.startswith(STOPPING_KINDS)
                if is_ended and begin <= entry.begin < end and _strikes(entry, balancer):
                    outages.append(Outage(balancer, entry.begin, end - contact_s))
    return outages


def _strikes(entry: Disturbance, balancer: str) -> bool:
    return entry.kind.startswith("closing") or balancer in entry.what.split(", ") or " more" in entry.what


def _request_kinds(site: dict[str, Any], report: dict[str, Any]) -> list[RequestKind]:
    total = sum(kind["n"] for kind in report["classes"])
    seen = {kind["name"]: kind for kind in report["classes"]}
    return [
        RequestKind(
            seen[kind["name"]]["n"] / total,
            kind["aim_ms"] / 1000.0,
            kind["deadline_ms"] / 1000.0,
            seen[kind["name"]]["p50_ms"] / 1000.0,
            kind["worth"],
            kind["late_worth"] / kind["worth"],
            1 + kind["retries"],
        )
        for kind in site["classes"]
        if kind["name"] in seen
    ]


if __name__ == "__main__":
    main()

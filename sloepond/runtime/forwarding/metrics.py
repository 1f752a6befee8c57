"""Metrics of a forwarding balancer in the text exposition format of Prometheus.

Owns the names and labels of metrics: the prefix, and the suffix `_total` of each counter.  Relies on
the node for every value.  `zone` in a name is the platform's word for hall; dashboards use these names.
"""

from __future__ import annotations

import msgspec

from sloepond.core.forwarding.load.latency import BOUNDS_S, LatencyHistogram
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.runtime.forwarding.http_server import Page

PREFIX = "sloepond_"
CONTENT_TYPE = "text/plain; version=0.0.4"
"""Content type of this format."""


def metrics_page(node: ForwardingNode, now: float) -> Page:
    """Return all counters, gauges and histograms of a node.

    :param now: seconds of the loop's clock.
    """
    lines = [*_counter_lines(node), *_gauge_lines(node, now), *_backend_lines(node, now)]
    for name, histogram in node.latencies.items():
        lines.extend(_histogram_lines(f"{PREFIX}{name}", histogram))
    return Page(200, "\n".join([*lines, ""]).encode(), CONTENT_TYPE)


def _counter_lines(node: ForwardingNode) -> list[str]:
    counters = node.counters
    names = (field.name for field in msgspec.structs.fields(counters))
    return [f"{PREFIX}{name}_total {getattr(counters, name)}" for name in names]


def _gauge_lines(node: ForwardingNode, now: float) -> list[str]:
    hall = node.hall_balancers(now)
    return [
        f"{PREFIX}ready {int(node.is_ready)}",
        f"{PREFIX}stopping {int(node.is_stopping)}",
        f"{PREFIX}zone_balancers_ready {hall.ready}",
        f"{PREFIX}zone_balancers_not_ready {hall.not_ready}",
        f"{PREFIX}route_version {node.routes.version}",
        f"{PREFIX}flows_observed {node.flows_observed}",
        f"{PREFIX}backends {len(node.backends)}",
        f"{PREFIX}backends_unnamed {node.backends_unnamed}",
        f"{PREFIX}backends_passed_over {node.backends_ejected}",
        f"{PREFIX}routes_age_seconds {node.routes_age(now):.3f}",
        f"{PREFIX}backends_age_seconds {node.backends_age(now):.3f}",
    ]


def _backend_lines(node: ForwardingNode, now: float) -> list[str]:
    """Return the requests in flight at each back end, and the latency of those that were used recently."""
    in_flight = [
        f'{PREFIX}backend_in_flight{{backend="{backend.name}",state="{backend.state.name.lower()}"}} '
        f"{backend.in_flight}"
        for backend in node.backends
    ]
    latencies = [
        f'{PREFIX}backend_latency_seconds{{backend="{backend.name}"}} {latency_s:.3f}'
        for backend in node.backends
        if (latency_s := backend.latency.mean(now)) is not None
    ]
    return in_flight + latencies


def _histogram_lines(name: str, histogram: LatencyHistogram) -> list[str]:
    """Return the lines of one histogram of seconds."""
    bounded = zip(BOUNDS_S, histogram.cumulative(), strict=True)
    lines = [f"# TYPE {name} histogram"]
    lines.extend(f'{name}_bucket{{le="{bound}"}} {count}' for bound, count in bounded)
    lines.append(f'{name}_bucket{{le="+Inf"}} {histogram.count}')
    lines.append(f"{name}_sum {histogram.total_s:.6f}")
    lines.append(f"{name}_count {histogram.count}")
    return lines

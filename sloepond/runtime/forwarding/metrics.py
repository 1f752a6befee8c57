"""Metrics of a forwarding balancer as text, in the exposition format of Prometheus."""

from __future__ import annotations

import msgspec

from sloepond.core.forwarding.load.latency import BOUNDS_S, LatencyHistogram
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.runtime.forwarding.http_server import Page

PREFIX = "sloepond_"


def metrics_page(node: ForwardingNode, now: float) -> Page:
    """Return all counters, gauges and histograms of a node."""
    lines = [
        f"{PREFIX}{name}_total {getattr(node.counters, name)}"
        for name in (field.name for field in msgspec.structs.fields(node.counters))
    ]
    lines.append(f"{PREFIX}ready {int(node.is_ready)}")
    hall = node.hall_balancers(now)
    lines.append(f"{PREFIX}stopping {int(node.is_stopping)}")
    lines.append(f"{PREFIX}zone_balancers_ready {hall.ready}")
    lines.append(f"{PREFIX}zone_balancers_not_ready {hall.others}")
    lines.append(f"{PREFIX}route_version {node.routes.version}")
    lines.append(f"{PREFIX}flows_observed {node.flows_observed}")
    lines.append(f"{PREFIX}backends {len(node.backends)}")
    lines.append(f"{PREFIX}backends_passed_over {node.backends_passed_over}")
    lines.append(f"{PREFIX}routes_age_seconds {node.routes_age(now):.3f}")
    lines.append(f"{PREFIX}backends_age_seconds {node.backends_age(now):.3f}")
    lines.extend(
        f'{PREFIX}backend_in_flight{{backend="{backend.name}",state="{backend.state.name.lower()}"}} '
        f"{backend.in_flight}"
        for backend in node.backends
    )
    lines.extend(
        f'{PREFIX}backend_latency_seconds{{backend="{backend.name}"}} {latency_s:.3f}'
        for backend in node.backends
        if (latency_s := backend.latency.mean(now)) is not None
    )
    for name, histogram in node.latencies.items():
        lines.extend(_histogram_lines(f"{PREFIX}{name}", histogram))
    return Page(200, "\n".join([*lines, ""]).encode(), "text/plain; version=0.0.4")


def _histogram_lines(name: str, histogram: LatencyHistogram) -> list[str]:
    """Return the lines of one histogram, in seconds."""
    bounded = zip(BOUNDS_S, histogram.cumulative(), strict=True)
    lines = [f"# TYPE {name} histogram"]
    lines.extend(f'{name}_bucket{{le="{bound}"}} {count}' for bound, count in bounded)
    lines.append(f'{name}_bucket{{le="+Inf"}} {histogram.count}')
    lines.append(f"{name}_sum {histogram.total_s:.6f}")
    lines.append(f"{name}_count {histogram.count}")
    return lines

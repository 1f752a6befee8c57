"""Metrics of a balancer in the Prometheus text format, in a separate registry."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, InfoMetricFamily, Metric
from prometheus_client.registry import Collector

from sloepond import __version__
from sloepond.api.state import ApiState
from sloepond.core.status import BalancerState, NodeStatus
from sloepond.runtime.traffic import TrafficClass

PREFIX = "sloepond"


class NodeCollector(Collector):
    """Reads the state of the node at each scrape."""

    def __init__(self, state: ApiState) -> None:
        self._state = state

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics of the node."""
        status = self._state.node.status()
        yield InfoMetricFamily(
            PREFIX, "This balancer.", {"name": status.name, "hall": status.hall, "version": __version__}
        )
        yield from self._counters()
        yield from _gauges(status)
        yield _state_gauge(status)
        yield _peer_gauge(status)
        yield from self._traffic()

    def _counters(self) -> Iterator[Metric]:
        counters = self._state.node.counters
        for field in dataclasses.fields(counters):
            value = getattr(counters, field.name)
            help_text = f"Total of {field.name.replace('_', ' ')}."
            yield CounterMetricFamily(f"{PREFIX}_{field.name}", help_text, value=value)

    def _traffic(self) -> Iterator[Metric]:
        totals = CounterMetricFamily(
            f"{PREFIX}_peer_bytes", "Bytes exchanged with peers.", labels=("class", "direction")
        )
        for traffic_class, total in self._state.traffic_totals.items():
            totals.add_metric((traffic_class.value, "sent"), total.sent_bytes)
            totals.add_metric((traffic_class.value, "received"), total.received_bytes)
        yield totals
        control = GaugeMetricFamily(
            f"{PREFIX}_control_bytes_per_second",
            "Control bytes exchanged with peers, averaged over the last seconds.",
            labels=("direction",),
        )
        for rate in self._state.traffic_rates():
            if rate.traffic_class is TrafficClass.CONTROL:
                control.add_metric(("sent",), rate.sent_bytes_per_second)
                control.add_metric(("received",), rate.received_bytes_per_second)
        yield control


def _gauges(status: NodeStatus) -> Iterator[Metric]:
    suspected = sum(peer.suspected for peer in status.peers)
    gauges = (
        ("flows", "Flows whose packets this balancer has seen lately.", status.flows),
        ("requests_in_flight", "Requests handed to back ends and not yet answered.", status.in_flight),
        ("has_lease", "Always 0: balancers need no lease.", int(status.has_lease)),
        ("epoch", "Always 0: balancers agree on no view.", status.epoch),
        ("members", "Balancers in the list of machines of the platform.", len(status.members)),
        ("peers_suspected", "Always 0: balancers do not watch each other.", suspected),
        ("generation", "Configuration generation in force.", status.generation),
    )
    for name, help_text, value in gauges:
        yield GaugeMetricFamily(f"{PREFIX}_{name}", help_text, value=value)


def _state_gauge(status: NodeStatus) -> Metric:
    gauge = GaugeMetricFamily(f"{PREFIX}_state", "1 for the present state.", labels=("state",))
    for state in BalancerState:
        gauge.add_metric((state.value,), int(state == status.state))
    return gauge


def _peer_gauge(status: NodeStatus) -> Metric:
    gauge = GaugeMetricFamily(
        f"{PREFIX}_peer_generation", "Generation in force at a peer; without samples.", labels=("peer",)
    )
    for peer in status.peers:
        gauge.add_metric((peer.name,), peer.generation)
    return gauge


class Metrics:
    """All metrics of one balancer, including those of its process."""

    def __init__(self, state: ApiState) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(NodeCollector(state))
        ProcessCollector(registry=self._registry)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

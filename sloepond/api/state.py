"""What the operators' API needs of the daemon, as protocols."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from sloepond.core.counters import Counters
from sloepond.core.status import NodeStatus
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.runtime.traffic import TrafficClass, TrafficRate, TrafficTotal


class ConfigurationInForce(Protocol):
    """The part of the configuration store that the API reads."""

    @property
    def in_force(self) -> CompiledConfiguration:
        """The configuration in force; generation 0 where there is none yet."""


class ApiNode(Protocol):
    """The part of `core.node.Node` that the API reads."""

    @property
    def counters(self) -> Counters:
        """Counters of the node."""

    @property
    def configuration(self) -> ConfigurationInForce:
        """The configuration store."""

    def status(self) -> NodeStatus:
        """Return the present state of the node and its peers."""


class ApiState(Protocol):
    """The daemon as the API sees it."""

    @property
    def node(self) -> ApiNode:
        """The core."""

    @property
    def traffic_totals(self) -> Mapping[TrafficClass, TrafficTotal]:
        """Traffic with peers since the start, by class."""

    def traffic_rates(self) -> tuple[TrafficRate, ...]:
        """Return bytes a second exchanged with peers, by class."""

    def request_stop(self) -> None:
        """Start a planned stop."""

"""Protocols for the parts of the daemon that the operators' API reads."""

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
        """The configuration in force; its generation is 0 if there is none yet."""


class ApiNode(Protocol):
    """The part of `core.node.Node` that the API reads."""

    @property
    def counters(self) -> Counters:
        """Counters of the node."""

    @property
    def configuration(self) -> ConfigurationInForce:
        """The configuration store."""

    def status(self) -> NodeStatus:
        """Return the current state of the node and its peers."""


class ApiState(Protocol):
    """The parts of the daemon that the API uses."""

    @property
    def node(self) -> ApiNode:
        """The core node."""

    @property
    def traffic_totals(self) -> Mapping[TrafficClass, TrafficTotal]:
        """Traffic with peers since the start, by class."""

    def traffic_rates(self) -> tuple[TrafficRate, ...]:
        """Return bytes per second exchanged with peers, by class."""

    def request_stop(self) -> None:
        """Start a planned stop."""

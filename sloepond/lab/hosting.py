"""The interface of a node in the lab, so that tests can run broken nodes instead of the real one.

The only module of the lab that refers to the node that balancers run.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from sloepond.core.commands import Command
from sloepond.core.events import Event
from sloepond.core.messages import Member
from sloepond.core.node import Node
from sloepond.core.settings import NodeSettings
from sloepond.resources.compiled import CompiledConfiguration


class ConfigurationHolder(Protocol):
    """Provides the configuration in force."""

    @property
    def in_force(self) -> CompiledConfiguration:
        """The configuration in force; its generation is 0 if there is none."""


class LabNode(Protocol):
    """A balancer's node without I/O."""

    @property
    def identity(self) -> Member:
        """Name, incarnation and address of its process."""

    @property
    def configuration(self) -> ConfigurationHolder:
        """The holder of the configuration in force."""

    def start(self, now: float) -> list[Command]:
        """Start the node and return its first commands."""

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle an event and return the resulting commands."""

    def next_deadline(self) -> float:
        """Return the time at which the next `TimerFired` is due; `NEVER` for none."""


NodeFactory = Callable[[Member, NodeSettings, random.Random], LabNode]
"""Creates the node of one process."""

BALANCER_NODE: NodeFactory = Node
"""The node that balancers run."""

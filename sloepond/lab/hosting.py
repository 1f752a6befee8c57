"""What the lab needs of a node, so that the real one and the broken ones of tests run alike.

The one place in which the lab names the node that balancers run.
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
    """Holds the configuration in force."""

    @property
    def in_force(self) -> CompiledConfiguration:
        """The configuration in force; generation 0 for none."""


class LabNode(Protocol):
    """A balancer's node without I/O."""

    @property
    def identity(self) -> Member:
        """Name, incarnation and address of its process."""

    @property
    def configuration(self) -> ConfigurationHolder:
        """What configuration it uses."""

    def start(self, now: float) -> list[Command]:
        """Return the first commands."""

    def handle(self, event: Event, now: float) -> list[Command]:
        """Take an event and return the commands that follow from it."""

    def next_deadline(self) -> float:
        """Return when a `TimerFired` is needed next, `NEVER` if not."""


NodeFactory = Callable[[Member, NodeSettings, random.Random], LabNode]
"""Makes the node of one process."""

BALANCER_NODE: NodeFactory = Node
"""The node that balancers run."""

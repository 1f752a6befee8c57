"""What the lab needs of a node, so that the real one and the broken ones of tests run alike.

The one place in which the lab names the node that balancers run.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from sloepond.core.messages import Member
from sloepond.core.node import Node
from sloepond.core.settings import NodeSettings
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.runtime.balancer_node import BalancerNode


class InForce(Protocol):
    """Holds the configuration in force."""

    @property
    def in_force(self) -> CompiledConfiguration:
        """The configuration in force; generation 0 for none."""


class LabNode(BalancerNode, Protocol):
    """A balancer's node of which the lab can see what configuration is in force."""

    @property
    def configuration(self) -> InForce:
        """What configuration it uses."""


NodeFactory = Callable[[Member, NodeSettings, random.Random], LabNode]
"""Makes the node of one process."""

BALANCER_NODE: NodeFactory = Node
"""The node that balancers run."""

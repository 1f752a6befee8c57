"""State that the components of one node share: identity, time, random source, commands.

The node sets `now` before each event.  Components append commands to `commands`; nothing in the core reads a
clock, a socket or a global random source, so the same core runs on sockets and on a simulated clock.
"""

from __future__ import annotations

import random

from sloepond.core.commands import Command, RecordTransition, SendToPeer, TransitionKind
from sloepond.core.counters import Counters
from sloepond.core.deadlines import NEVER as NEVER
from sloepond.core.messages import Member, PeerMessage


class NodeContext:
    """Shared state of one node's components.

    :ivar identity: this balancer.
    :ivar now: seconds on a monotonic clock, set by the node before each event.
    :ivar random: the only source of randomness.
    :ivar commands: commands of the current event, in order.
    """

    __slots__ = ("commands", "counters", "identity", "now", "random")

    def __init__(self, identity: Member, random_source: random.Random) -> None:
        self.identity = identity
        self.random = random_source
        self.now = 0.0
        self.commands: list[Command] = []
        self.counters = Counters()

    def emit(self, command: Command) -> None:
        """Append a command to those of the current event."""
        self.commands.append(command)

    def send_to_peer(self, address: str, message: PeerMessage) -> None:
        """Send a message to the balancer at `address` (`ip:port`)."""
        self.commands.append(SendToPeer(address, message))

    def record_transition(self, kind: TransitionKind, subject: str, detail: str) -> None:
        """Append a command to write one log line about a change of state."""
        self.commands.append(RecordTransition(kind, subject, detail))

    def drain_commands(self) -> list[Command]:
        """Return the collected commands and start a new list."""
        commands = self.commands
        self.commands = []
        return commands

"""Commands that a part of a node has issued and the node has not collected yet.

Owns: the list of commands of one part.  Relies on: the node to collect it after each event.
Parts keep outboxes of their own because the node collects them in a fixed order.
"""

from __future__ import annotations

from collections.abc import Sequence

from sloepond.core.forwarding.commands import Command, LogKind, SendToPeer, WriteLog
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.peers.messages import PeerMessage


class Outbox:
    """Commands in the order in which they were issued."""

    def __init__(self, counters: ForwardingCounters) -> None:
        self._counters = counters
        self._commands: list[Command] = []

    def add(self, command: Command) -> None:
        """Append a command."""
        self._commands.append(command)

    def send(self, ips: Sequence[str], message: PeerMessage) -> None:
        """Send one datagram to each of some peers, and count them."""
        self._counters.peer_messages_sent += len(ips)
        self._commands.extend(SendToPeer(ip, message) for ip in ips)

    def log(self, kind: LogKind, subject: str, detail: str) -> None:
        """Write a log line; see `WriteLog`."""
        self._commands.append(WriteLog(kind, subject, detail))

    def take(self) -> list[Command]:
        """Return the commands issued since the last call, and forget them."""
        commands, self._commands = self._commands, []
        return commands

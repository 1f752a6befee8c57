"""Hands events to the node and its commands to the writer; never raises.

Owns when the balancer was last busy and which failures were logged.  Relies on the node for
decisions and on `command_writer` to carry them out.
"""

from __future__ import annotations

from collections.abc import Callable

import logbook

from sloepond.core.commands import Command, SendToBackend
from sloepond.core.events import Event
from sloepond.core.node import Node
from sloepond.runtime.activity import ACTIVE_S, RENEWAL_S, is_routine
from sloepond.runtime.command_writer import CommandWriters

MAXIMUM_HANDLING_S = 0.5
"""Time after which packets to back ends are stale and dropped, in seconds.

A process that was paused between deciding and sending may send to a back end that has left
meanwhile; the caller sends again.  Not measured.
"""


class Dispatcher:
    """Runs the node.

    :param clock: returns seconds; the node's clock.
    :param writers: what carries out each type of command.
    """

    def __init__(
        self,
        node: Node,
        clock: Callable[[], float],
        writers: CommandWriters,
        logger: logbook.Logger,
    ) -> None:
        self._handle = node.handle
        self._node = node
        self._clock = clock
        self._writers = writers
        self._logger = logger
        self._active_until = clock() + ACTIVE_S
        self._renew_from = 0.0
        self._logged_failures: set[tuple[type, type]] = set()

    def is_idle(self) -> bool:
        """Return whether there were only routine events for a while."""
        return self._clock() > self._active_until

    def start(self) -> None:
        """Start the node."""
        self.carry_out(self._node.start(self._clock()))

    def dispatch(self, event: Event) -> None:
        """Hand over one event and carry out what the node asks for."""
        clock = self._clock
        now = clock()
        if now >= self._renew_from and not is_routine(event):
            self._active_until = now + ACTIVE_S
            self._renew_from = now + RENEWAL_S
        try:
            commands = self._handle(event, now)
        except Exception as error:
            self._record_failure(type(event), error)
            return
        if clock() - now > MAXIMUM_HANDLING_S:
            commands = self._without_stale(commands)
        self.carry_out(commands)

    def carry_out(self, commands: list[Command]) -> None:
        """Carry out commands in order; one that fails does not stop the others."""
        writers = self._writers
        for command in commands:
            try:
                writers[type(command)](command)
            except Exception as error:
                self._record_failure(type(command), error)

    def _without_stale(self, commands: list[Command]) -> list[Command]:
        kept: list[Command] = []
        for command in commands:
            if not isinstance(command, SendToBackend):
                kept.append(command)
        self._node.counters.commands_stale += len(commands) - len(kept)
        return kept

    def _record_failure(self, subject: type, error: Exception) -> None:
        """Count a failure; the first one of each kind is logged with its traceback."""
        self._node.counters.handler_failures += 1
        kind = (subject, type(error))
        if kind in self._logged_failures:
            return
        self._logged_failures.add(kind)
        self._logger.error(
            "handler failed; later failures of this kind are only counted",
            extra={"kind": "handler-failure", "subject": subject.__name__},
            exc_info=(type(error), error, error.__traceback__),
        )

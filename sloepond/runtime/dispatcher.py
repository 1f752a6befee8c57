"""Passes events to the node and carries out its commands; never raises.

Owns the time of the last activity and the set of logged failures.  Relies on the node for decisions
and on `command_writer` to carry them out.
"""

from __future__ import annotations

from collections.abc import Callable

import logbook

from sloepond.core.commands import Command, SendToBackend
from sloepond.core.events import Event
from sloepond.core.node import Node
from sloepond.runtime.activity import ACTIVE_S, RENEWAL_S, is_routine
from sloepond.runtime.command_writer import CommandHandlers

MAXIMUM_HANDLING_S = 0.5
"""Longest time to handle an event, in seconds; after it the resulting packets to back ends are dropped.

A process that stalls between a decision and the send could send to a back end that has left in
the meantime.  The caller retransmits.
"""


class Dispatcher:
    """Runs the node.

    :param clock: returns the time of the node's clock, in seconds.
    :param handlers: the handler of each type of command.
    """

    def __init__(
        self,
        node: Node,
        clock: Callable[[], float],
        handlers: CommandHandlers,
        logger: logbook.Logger,
    ) -> None:
        self._handle = node.handle
        self._node = node
        self._clock = clock
        self._handlers = handlers
        self._logger = logger
        self._active_until = clock() + ACTIVE_S
        self._renew_from = 0.0
        self._logged_failures: set[tuple[type, type]] = set()

    def is_idle(self) -> bool:
        """Return whether there were only routine events for the last `ACTIVE_S`."""
        return self._clock() > self._active_until

    def start(self) -> None:
        """Start the node."""
        self.carry_out(self._node.start(self._clock()))

    def dispatch(self, event: Event) -> None:
        """Pass one event to the node and carry out the resulting commands."""
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
            commands = self._drop_stale(commands)
        self.carry_out(commands)

    def carry_out(self, commands: list[Command]) -> None:
        """Carry out commands in order; a failed one does not stop the others."""
        handlers = self._handlers
        for command in commands:
            try:
                handlers[type(command)](command)
            except Exception as error:
                self._record_failure(type(command), error)

    def _drop_stale(self, commands: list[Command]) -> list[Command]:
        kept: list[Command] = []
        for command in commands:
            if not isinstance(command, SendToBackend):
                kept.append(command)
        self._node.counters.commands_stale += len(commands) - len(kept)
        return kept

    def _record_failure(self, subject: type, error: Exception) -> None:
        """Count a failure; log the first one of each kind with its traceback."""
        self._node.counters.handler_failures += 1
        failure_kind = (subject, type(error))
        if failure_kind in self._logged_failures:
            return
        self._logged_failures.add(failure_kind)
        self._logger.error(
            "handler failed; later failures of this kind are only counted",
            extra={"kind": "handler-failure", "subject": subject.__name__},
            exc_info=(type(error), error, error.__traceback__),
        )

"""Carries out the node's commands without blocking.

Owns the mapping from commands to their handlers.  Relies on the sender for datagrams, on the reader
for the platform and on the logger for state transitions.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import logbook

from sloepond.core.commands import (
    CompleteStop,
    ReadConfiguration,
    ReadMachineList,
    RecordTransition,
    SendToBackend,
    SendToCaller,
    SendToPeer,
    TransitionKind,
)
from sloepond.runtime.packet_sender import PacketSender
from sloepond.runtime.platform_reader import PlatformReader

_WARNINGS = frozenset(
    {
        TransitionKind.CONFIGURATION_REJECTED,
        TransitionKind.CONFIGURATION_SERVICE_DOWN,
        TransitionKind.STALL_DETECTED,
    }
)


CommandHandlers = Mapping[type, Callable[[Any], None]]
"""Handlers of commands by type.

A handler raises if the command cannot be encoded or addressed; the dispatcher counts that.
"""


class CommandWriter:
    """Carries out commands.

    :param complete_stop: ends the daemon.
    :ivar handlers: the handler of each type of command.
    """

    def __init__(
        self,
        sender: PacketSender,
        reader: PlatformReader,
        logger: logbook.Logger,
        complete_stop: Callable[[], None],
    ) -> None:
        self._logger = logger
        self._complete_stop = complete_stop
        self.handlers: CommandHandlers = {
            SendToCaller: sender.send_to_caller,
            SendToBackend: sender.send_to_backend,
            SendToPeer: sender.send_to_peer,
            ReadConfiguration: reader.read_configuration,
            ReadMachineList: reader.read_machine_list,
            RecordTransition: self._record_transition,
            CompleteStop: self._handle_complete_stop,
        }

    def _record_transition(self, command: RecordTransition) -> None:
        log = self._logger.warning if command.kind in _WARNINGS else self._logger.info
        log("{}", command.detail, extra={"kind": command.kind.value, "subject": command.subject})

    def _handle_complete_stop(self, command: CompleteStop) -> None:
        self._complete_stop()

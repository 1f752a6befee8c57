"""Carrying out the node's commands without waiting.

Owns which part carries out which command.  Relies on the sender for datagrams, on the reader
for the platform and on the logger for changes of state.
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


CommandWriters = Mapping[type, Callable[[Any], None]]
"""What carries out a command, by its type.

They raise for what cannot be encoded or addressed; the dispatcher counts that.
"""


class CommandWriter:
    """Carries out commands.

    :param complete_stop: ends the daemon.
    :ivar writers: what carries out each type of command.
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
        self.writers: CommandWriters = {
            SendToCaller: sender.send_to_caller,
            SendToBackend: sender.send_to_backend,
            SendToPeer: sender.send_to_peer,
            ReadConfiguration: reader.read_configuration,
            ReadMachineList: reader.read_machine_list,
            RecordTransition: self._record_transition,
            CompleteStop: self._end,
        }

    def _record_transition(self, command: RecordTransition) -> None:
        log = self._logger.warning if command.kind in _WARNINGS else self._logger.info
        log("{}", command.detail, extra={"kind": command.kind.value, "subject": command.subject})

    def _end(self, command: CompleteStop) -> None:
        self._complete_stop()

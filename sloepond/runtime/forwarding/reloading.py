"""Settings that change while the balancer runs, with or without a signal."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from sloepond.core.forwarding.commands import LogKind, WriteLog
from sloepond.core.forwarding.events import SettingsChanged
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.process import ForwardingSettings

CHECK_INTERVAL_S = 5.0
"""Time between looks at the settings when nobody signals."""
_TAKEN_WHILE_RUNNING = ("seeds", "store", "metrics")


class SettingsReloader:
    """Reads the settings again and tells what can be taken without a restart.

    :param read: reads the settings; may raise OSError, KeyError or ValueError.
    :param current: the settings in use.
    :param file_names: name in the settings file of each field that has another name in there.
    """

    def __init__(
        self,
        read: Callable[[], ForwardingSettings],
        current: ForwardingSettings,
        logs: LogWriter,
        file_names: Mapping[str, str],
    ) -> None:
        self._read = read
        self._logs = logs
        self._file_names = file_names
        self._ignored: Mapping[str, str] = {}
        self.current = current

    def reload(self) -> SettingsChanged | None:
        """Return what has changed, None where nothing has or nothing can be read."""
        try:
            changed = self._read()
        except (OSError, KeyError, ValueError) as error:
            self._log("unreadable", f"kept=yes error={type(error).__name__}: {error}")
            return None
        self.log_ignored(changed)
        if not changed.differences(self.current):
            return None
        self._log("taken", f"after_restart={self._needs_restart(changed)}")
        self.current = changed
        return SettingsChanged(changed.seeds, changed.store)

    def log_ignored(self, settings: ForwardingSettings) -> None:
        """Write a line for each field that is ignored, unless the last call has written the same."""
        for name, reason in settings.ignored.items():
            if self._ignored.get(name) != reason:
                self._logs.write(WriteLog(LogKind.SETTING_IGNORED, name, f"reason={reason}"))
        self._ignored = settings.ignored

    def _log(self, subject: str, detail: str) -> None:
        self._logs.write(WriteLog(LogKind.SETTINGS_CHANGED, subject, detail))

    def _needs_restart(self, changed: ForwardingSettings) -> str:
        """Return the names of changed fields that are taken at the next start only."""
        names = changed.differences(self.current)
        kept = [self._file_names.get(name, name) for name in names if name not in _TAKEN_WHILE_RUNNING]
        return ",".join(kept) or "nothing"

"""Reloads the settings of a running balancer, upon SIGHUP and every few seconds.

Owns the settings in use.  Relies on the adapter to read the file.  A file that cannot be read changes
nothing and is logged, as is each field that needs a restart or cannot be used.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from sloepond.core.forwarding.commands import LogKind, WriteLog
from sloepond.core.forwarding.events import SettingsChanged
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.process import ForwardingSettings

RELOAD_INTERVAL_S = 5.0
"""Interval between reads of the settings without a signal, in seconds.

Seeds and the store's address change rarely, and reading a small file costs little.
"""
_APPLIED_WHILE_RUNNING = ("seeds", "store")
"""Settings that take effect without a restart."""
_DERIVED = ("metrics",)
"""Settings that are derived from another field of the file, which is logged instead."""
_WITHOUT_RESTART = frozenset((*_APPLIED_WHILE_RUNNING, *_DERIVED))


class SettingsReloader:
    """Reads the settings again and returns the changes that need no restart.

    :param read: reads the settings; raises OSError, KeyError or ValueError on failure.
    :ivar current: the settings that were read last.
    :param file_names: name in the settings file of each setting whose name differs there.
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
        """Return the changes, None if there are none or the settings cannot be read."""
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
        """Log each ignored field, unless the previous call has logged it with the same reason."""
        for name, reason in settings.ignored.items():
            if self._ignored.get(name) != reason:
                self._logs.write(WriteLog(LogKind.SETTING_IGNORED, name, f"reason={reason}"))
        self._ignored = settings.ignored

    def _log(self, subject: str, detail: str) -> None:
        self._logs.write(WriteLog(LogKind.SETTINGS_CHANGED, subject, detail))

    def _needs_restart(self, changed: ForwardingSettings) -> str:
        """Return the changed fields of the file that take effect at the next start."""
        names = [name for name in changed.differences(self.current) if name not in _WITHOUT_RESTART]
        return ",".join(self._file_names.get(name, name) for name in names) or "nothing"

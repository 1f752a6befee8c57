"""Reloads the settings file while the daemon runs.

Owns the set of settings that take effect without a restart.  Relies on `settings_file` for the checks.
"""

from __future__ import annotations

import pathlib

import logbook
import msgspec

from sloepond.runtime.daemon import BalancerDaemon
from sloepond.runtime.logs import set_log_level
from sloepond.runtime.settings import BalancerSettings
from sloepond.runtime.settings_file import SettingsOverride, load_settings
from sloepond.runtime.settings_rules import read_key_ring

_RELOADED_FIELDS = frozenset({"keys", "log"})


class SettingsReloader:
    """Applies the keys and the log level of the file; changes of other fields need a restart."""

    def __init__(
        self,
        file: pathlib.Path,
        overrides: tuple[SettingsOverride, ...],
        log_handler: logbook.StreamHandler,
    ) -> None:
        self._file = file
        self._overrides = overrides
        self._log_handler = log_handler

    def reload(self, daemon: BalancerDaemon) -> None:
        """Read the file and apply it; if there are findings, keep the current settings."""
        checked = load_settings(self._file, self._overrides)
        if checked.settings is None:
            for finding in checked.findings:
                daemon.logger.error("invalid settings, the current ones stay in use: {}", finding)
            return
        daemon.authenticator.replace_keys(read_key_ring(checked.settings.keys))
        set_log_level(self._log_handler, checked.settings.log.level)
        daemon.logger.info("settings reloaded: the keys and the log level are in use")
        ignored = _changed_fields(daemon.settings, checked.settings) - _RELOADED_FIELDS
        if ignored:
            daemon.logger.warning("changes of these settings need a restart: {}", ", ".join(sorted(ignored)))


def _changed_fields(before: BalancerSettings, after: BalancerSettings) -> set[str]:
    names = {field.name for field in msgspec.structs.fields(BalancerSettings)}
    return {name for name in names if getattr(before, name) != getattr(after, name)}

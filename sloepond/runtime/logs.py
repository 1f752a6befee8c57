"""Log lines on standard error, as text or JSON.

The daemon logs only state transitions and failures; everything else is counted.
"""

from __future__ import annotations

import sys
from typing import Any

import logbook
import msgspec

from sloepond.runtime.settings import LogFormat, LogLevel, LogSettings

LOGGER_NAME = "sloepond"

_LEVELS = {
    LogLevel.DEBUG: logbook.DEBUG,
    LogLevel.INFO: logbook.INFO,
    LogLevel.WARNING: logbook.WARNING,
    LogLevel.ERROR: logbook.ERROR,
}
_JSON_ENCODER = msgspec.json.Encoder()


class LogLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One log line in JSON.

    :ivar time: UTC time in ISO 8601.
    :ivar kind: kind of the state transition or failure, empty for other lines.
    :ivar subject: the object whose state changed.
    """

    time: str
    level: str
    message: str
    kind: str = ""
    subject: str = ""
    error: str = ""


def create_logger() -> logbook.Logger:
    """Return the daemon's logger."""
    return logbook.Logger(LOGGER_NAME)


def create_log_handler(settings: LogSettings) -> logbook.StreamHandler:
    """Return a handler that writes to standard error; the caller installs it."""
    handler = logbook.StreamHandler(sys.stderr, level=_LEVELS[settings.level], bubble=False)
    handler.formatter = _format_json if settings.format is LogFormat.JSON else _format_text
    return handler


def set_log_level(handler: logbook.StreamHandler, level: LogLevel) -> None:
    """Set the minimum severity of written lines."""
    handler.level = _LEVELS[level]


def _format_json(record: logbook.LogRecord, handler: Any) -> str:
    return _JSON_ENCODER.encode(_line(record)).decode()


def _format_text(record: logbook.LogRecord, handler: Any) -> str:
    line = _line(record)
    parts = [line.time, line.level, line.kind, line.subject, line.message, line.error]
    return _one_line(" ".join(part for part in parts if part))


def _line(record: logbook.LogRecord) -> LogLine:
    return LogLine(
        time=record.time.isoformat(timespec="milliseconds"),
        level=record.level_name.lower(),
        message=record.message,
        kind=record.extra["kind"] or "",
        subject=record.extra["subject"] or "",
        error=record.formatted_exception or "",
    )


def _one_line(text: str) -> str:
    """Return `text` with line breaks and control characters escaped."""
    return "".join(character if character.isprintable() else repr(character)[1:-1] for character in text)

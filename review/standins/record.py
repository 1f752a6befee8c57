"""The record of one run: what was sent, answered and run, with the seconds since the start of the clients."""

from __future__ import annotations

import pathlib
import time


class Record:
    """Lines of the record, written at the end.

    :ivar origin: the moment that counts as 0 s, in seconds of the steady clock.
    """

    def __init__(self) -> None:
        self.origin = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def now(self) -> float:
        """Return the seconds since the origin."""
        return time.monotonic() - self.origin

    def note(self, text: str) -> float:
        """Add a line; return its time."""
        now = self.now()
        self._lines.append((now, text))
        return now

    def write(self, path: pathlib.Path) -> None:
        """Write all lines in the order of their times."""
        path.write_text("".join(f"{at:9.4f} {text}\n" for at, text in sorted(self._lines)))

"""The line that a stand-in process prints when it is ready.

The parent process waits for this line and reads the ports from it, so that the stand-in can
bind any free port.
"""

from __future__ import annotations

import msgspec


class StandinStarted(msgspec.Struct, frozen=True):
    """Addresses of a stand-in process.

    :ivar url: URL of its HTTP interface.
    :ivar address: `ip:port` of its UDP socket, empty if there is none to report.
    """

    url: str
    address: str = ""


def print_started(started: StandinStarted) -> None:
    """Write the line to standard output, unbuffered since the parent process waits for it."""
    print(msgspec.json.encode(started).decode(), flush=True)

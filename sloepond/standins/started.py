"""The one line a stand-in process prints when it is ready.

Whoever starts the process waits for this line and needs no port chosen beforehand.
"""

from __future__ import annotations

import msgspec


class StandinStarted(msgspec.Struct, frozen=True):
    """Where a stand-in process can be reached.

    :ivar url: URL of its HTTP interface.
    :ivar address: `ip:port` of its UDP socket, empty where it has none of its own.
    """

    url: str
    address: str = ""


def print_started(started: StandinStarted) -> None:
    """Write the line to standard output; whoever started the process waits for it."""
    print(msgspec.json.encode(started).decode(), flush=True)

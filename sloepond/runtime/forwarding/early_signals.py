"""Installs the signal handlers of a process before the rest of the code is imported.

`signal` and `socket` import enumerations and selectors, so this module uses the C modules `_signal` and
`_socket`.  Owns the signal handlers; the event loop reads the signal numbers from the descriptor.
"""

from __future__ import annotations

import _signal
import _socket

SIGNALS = (_signal.SIGTERM, _signal.SIGINT, _signal.SIGHUP)
"""Signals that request a planned stop or a reload of the settings."""


def receive_signals() -> int:
    """Return a descriptor that yields the number of each received signal as one byte."""
    receiving, sending = _socket.socketpair(_socket.AF_UNIX, _socket.SOCK_STREAM)
    sending.setblocking(False)
    _signal.set_wakeup_fd(sending.detach(), warn_on_full_buffer=False)
    for number in SIGNALS:
        _signal.signal(number, _leave_to_wakeup)
    return receiving.detach()


def _leave_to_wakeup(number: int, frame: object) -> None:
    """Ignore the signal here; the event loop reads its number from the wake-up socket."""

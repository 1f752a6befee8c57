"""Takes the signals of a process before anything else is loaded.

`signal` and `socket` load enumerations and selectors, so this module uses the C modules under them.  Owns
the handlers of the signals; the event loop reads their numbers from the descriptor.
"""

from __future__ import annotations

import _signal
import _socket

SIGNALS = (_signal.SIGTERM, _signal.SIGINT, _signal.SIGHUP)
"""Signals that ask for a stop, or for the settings to be read again."""


def receive_signals() -> int:
    """Return a descriptor that becomes readable with the number of each signal received."""
    receiving, sending = _socket.socketpair(_socket.AF_UNIX, _socket.SOCK_STREAM)
    sending.setblocking(False)
    _signal.set_wakeup_fd(sending.detach(), warn_on_full_buffer=False)
    for number in SIGNALS:
        _signal.signal(number, _leave_to_wakeup)
    return receiving.detach()


def _leave_to_wakeup(number: int, frame: object) -> None:
    """Do nothing: the event loop reads the number from the wake-up socket."""

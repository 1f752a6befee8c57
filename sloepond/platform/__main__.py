"""Starts a balancer on the platform: binds its sockets, then loads the rest.

What callers send meanwhile waits in the sockets' buffers.  Owns the signals of the process; relies on
`binding` and `settings` to load next to nothing.
"""

from __future__ import annotations

import gc

gc.disable()  # Loading makes no garbage; collecting meanwhile takes a tenth of a start.

# The modules in C under `signal` and `socket`: those load much, see `binding`.
import _signal  # noqa: E402
import _socket  # noqa: E402

_SIGNALS = (_signal.SIGTERM, _signal.SIGINT, _signal.SIGHUP)


def main() -> None:
    """Run a balancer until SIGTERM has stopped it."""
    signals = _receive_signals()
    from sloepond.platform.settings import read_settings
    from sloepond.runtime.forwarding.binding import bind_sockets

    settings = read_settings()
    descriptors = bind_sockets(settings)
    from sloepond.platform.balancer import run_balancer

    run_balancer(settings, descriptors, signals)


def _receive_signals() -> int:
    """Return a descriptor that becomes readable with the number of each signal received."""
    receiving, sending = _socket.socketpair(_socket.AF_UNIX, _socket.SOCK_STREAM)
    sending.setblocking(False)
    _signal.set_wakeup_fd(sending.detach(), warn_on_full_buffer=False)
    for number in _SIGNALS:
        _signal.signal(number, _leave_to_wakeup)
    return receiving.detach()


def _leave_to_wakeup(number: int, frame: object) -> None:
    """Do nothing: the event loop reads the number from the wake-up socket."""


if __name__ == "__main__":
    main()

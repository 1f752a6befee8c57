"""Start of a balancer on the platform: bind first, so that nothing is lost, then load the rest."""

from __future__ import annotations

import gc

gc.disable()  # Loading makes no garbage; collecting meanwhile takes a tenth of a start.

import signal  # noqa: E402
import socket  # noqa: E402

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def main() -> None:
    """Run a balancer until SIGTERM has stopped it."""
    signals = _receive_signals()
    from sloepond.platform.binding import bind_sockets
    from sloepond.platform.settings import read_settings

    settings = read_settings()
    sockets = bind_sockets(settings)
    from sloepond.platform.balancer import run_balancer

    run_balancer(settings, sockets, signals)


def _receive_signals() -> socket.socket:
    """Return a socket that becomes readable with the number of each signal received."""
    receiving, sending = socket.socketpair()
    receiving.setblocking(False)
    sending.setblocking(False)
    signal.set_wakeup_fd(sending.detach(), warn_on_full_buffer=False)
    for number in _SIGNALS:
        signal.signal(number, _leave_to_wakeup)
    return receiving


def _leave_to_wakeup(number: int, frame: object) -> None:
    """Do nothing: the event loop reads the number from the wake-up socket."""


if __name__ == "__main__":
    main()

"""Start of a balancer on the platform: bind first, so that nothing is lost, then load the rest."""

from __future__ import annotations

import signal

from sloepond.platform.binding import bind_sockets
from sloepond.platform.settings import read_settings

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def main() -> None:
    """Run a balancer until SIGTERM has stopped it."""
    signals: list[int] = []
    for number in _SIGNALS:
        signal.signal(number, lambda received, frame: signals.append(received))
    settings = read_settings()
    sockets = bind_sockets(settings)
    from sloepond.platform.balancer import run_balancer

    run_balancer(settings, sockets, signals)


if __name__ == "__main__":
    main()

"""Starts a balancer on the platform: binds its sockets, then loads the rest.

What callers send meanwhile waits in the sockets' buffers.  Relies on `early_signals`, `binding` and
`settings` to load next to nothing.
"""

from __future__ import annotations

import gc

gc.disable()  # Loading makes no garbage; collecting meanwhile takes a tenth of a start.

from sloepond.runtime.forwarding.early_signals import receive_signals  # noqa: E402


def main() -> None:
    """Run a balancer until SIGTERM has stopped it."""
    signals = receive_signals()
    from sloepond.platform.settings import read_settings
    from sloepond.runtime.forwarding.binding import bind_sockets

    settings = read_settings()
    descriptors = bind_sockets(settings)
    from sloepond.platform.balancer import run_balancer

    run_balancer(settings, descriptors, signals)


if __name__ == "__main__":
    main()

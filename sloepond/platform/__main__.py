"""Entry point of a balancer on the platform: binds its sockets before it imports the rest.

Packets that arrive during the imports are kept in the sockets' receive buffers.  Relies on
`early_signals`, `binding` and `settings` to import almost nothing.
"""

from __future__ import annotations

import gc

gc.disable()  # Imports create no garbage; collections would take a tenth of the start time.

from sloepond.runtime.forwarding.early_signals import receive_signals  # noqa: E402


def main() -> None:
    """Run a balancer until it has stopped after SIGTERM or SIGINT."""
    signals = receive_signals()
    from sloepond.platform.settings import read_settings
    from sloepond.runtime.forwarding.binding import bind_sockets

    settings = read_settings()
    descriptors = bind_sockets(settings)
    from sloepond.platform.balancer import run_balancer

    run_balancer(settings, descriptors, signals)


if __name__ == "__main__":
    main()

"""Handles the daemon's signals: planned stop, forced stop and reload of the settings."""

from __future__ import annotations

import signal
from collections.abc import Callable

import trio

from sloepond.runtime.daemon import BalancerDaemon

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SignalTask:
    """Handles signals until cancelled.

    The first SIGTERM or SIGINT starts a planned stop, the second one ends the daemon immediately.

    :param reload: called on SIGHUP.
    """

    def __init__(self, reload: Callable[[BalancerDaemon], None]) -> None:
        self._reload = reload
        self._is_stopping = False

    async def run(self, daemon: BalancerDaemon) -> None:
        """Handle the signals of `daemon`."""
        with trio.open_signal_receiver(*_STOP_SIGNALS, signal.SIGHUP) as signals:
            async for received in signals:
                self._handle(received, daemon)

    def _handle(self, received: int, daemon: BalancerDaemon) -> None:
        if received == signal.SIGHUP:
            self._reload(daemon)
        elif self._is_stopping:
            daemon.force_stop()
        else:
            self._is_stopping = True
            daemon.request_stop()

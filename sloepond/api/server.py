"""Serves the operators' API over HTTP or TLS, in a task beside those of the daemon."""

from __future__ import annotations

from collections.abc import Mapping

import hypercorn
import hypercorn.trio
import logbook
import trio

from sloepond.api.application import create_app
from sloepond.api.feed import ConfigurationFeed
from sloepond.api.state import ApiNode, ApiState
from sloepond.runtime.clock import monotonic_seconds
from sloepond.runtime.daemon import BalancerDaemon
from sloepond.runtime.settings import ApiSettings
from sloepond.runtime.traffic import TrafficClass, TrafficRate, TrafficTotal

KEEP_ALIVE_TIMEOUT_S = 5
TLS_HANDSHAKE_TIMEOUT_S = 5
GRACEFUL_SHUTDOWN_TIMEOUT_S = 1.0
MAXIMUM_HTTP2_STREAMS = 32
"""Concurrent requests on one HTTP/2 connection."""


class DaemonState:
    """Adapts a daemon to `ApiState`."""

    def __init__(self, daemon: BalancerDaemon) -> None:
        self._daemon = daemon

    @property
    def node(self) -> ApiNode:
        """The core node."""
        return self._daemon.node

    @property
    def traffic_totals(self) -> Mapping[TrafficClass, TrafficTotal]:
        """Traffic with peers since the start, by class."""
        return self._daemon.traffic.totals

    def traffic_rates(self) -> tuple[TrafficRate, ...]:
        """Return bytes per second exchanged with peers, by class."""
        return self._daemon.traffic.rates(monotonic_seconds())

    def request_stop(self) -> None:
        """Start a planned stop."""
        self._daemon.request_stop()


async def serve_daemon(daemon: BalancerDaemon) -> None:
    """Serve the API of a daemon until cancelled; an extension of the daemon.

    :raises OSError: if the address cannot be bound.
    """
    settings = daemon.settings
    await serve_api(DaemonState(daemon), settings.api, settings.api_address, daemon.logger)


async def serve_api(
    state: ApiState,
    settings: ApiSettings,
    address: str,
    logger: logbook.Logger,
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the API until cancelled; to be started with `nursery.start`.

    :param address: `ip:port` to listen on; port 0 selects a free port.
    :param task_status: receives the served URLs once they are bound.
    """
    feed = ConfigurationFeed(lambda: state.node.configuration.in_force)
    application = create_app(state, settings, feed, logger)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(feed.poll_continuously)
        urls = await nursery.start(_serve, application, server_configuration(settings, address))
        task_status.started(urls)


async def _serve(
    application: object,
    configuration: hypercorn.Config,
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    await hypercorn.trio.serve(
        application,  # type: ignore[arg-type]
        configuration,
        shutdown_trigger=trio.sleep_forever,
        task_status=task_status,
        mode="asgi",
    )


def server_configuration(settings: ApiSettings, address: str) -> hypercorn.Config:
    """Return the configuration of the HTTP server."""
    configuration = hypercorn.Config()
    configuration.bind = address
    configuration.certfile = settings.tls_certificate or None
    configuration.keyfile = settings.tls_key or None
    configuration.accesslog = None
    configuration.errorlog = None
    configuration.include_server_header = False
    configuration.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    configuration.ssl_handshake_timeout = TLS_HANDSHAKE_TIMEOUT_S
    configuration.graceful_timeout = GRACEFUL_SHUTDOWN_TIMEOUT_S
    configuration.h2_max_concurrent_streams = MAXIMUM_HTTP2_STREAMS
    return configuration

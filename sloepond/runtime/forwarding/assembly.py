"""Builds a forwarding balancer from its settings, its sockets and a platform's formats.

Owns nothing; the returned service owns all parts.  Relies on sockets that are already bound
(`binding`) and on a platform's adapter for the formats of packets, store and settings file.
"""

from __future__ import annotations

import random

from sloepond.core.forwarding.assembly import NodeOptions
from sloepond.core.forwarding.commands import LogKind, WriteLog
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.core.forwarding.placement.places import PlaceRules
from sloepond.core.forwarding.placement.slow_start import SlowStartLimit
from sloepond.runtime.forwarding.data_path import DataPath
from sloepond.runtime.forwarding.drivers import PlatformDrivers
from sloepond.runtime.forwarding.event_loop import EventLoop
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.process import (
    BoundDescriptors,
    BoundSockets,
    ForwardingSettings,
    NotBound,
)
from sloepond.runtime.forwarding.reloading import SettingsReloader
from sloepond.runtime.forwarding.service import ForwardingService
from sloepond.runtime.forwarding.store_client import StoreClient


def assemble_service(
    settings: ForwardingSettings, descriptors: BoundDescriptors, signals: int, drivers: PlatformDrivers
) -> ForwardingService:
    """Return a balancer that is ready to run, and log its start.

    :param signals: descriptor that yields the number of each received signal as one byte.
    """
    node = _node(settings)
    logs = LogWriter(node.counters)
    _log_start(settings, descriptors, logs)
    reloader = SettingsReloader(drivers.read_settings, settings, logs, drivers.file_names)
    reloader.log_ignored(settings)
    loop = EventLoop()
    sockets = BoundSockets(descriptors, signals)
    data_path = DataPath(sockets.edge, drivers.packets, node, logs)
    store = StoreClient(loop, settings.store, drivers.store, logs)
    return ForwardingService(loop, sockets, data_path, store, node, logs, reloader)


def _node(settings: ForwardingSettings) -> ForwardingNode:
    options = NodeOptions(
        ip=settings.ip,
        seeds=settings.seeds,
        places=PlaceRules(regions=settings.regions),
        capacity=settings.capacity,
        slow_start_limit=_slow_start_limit(settings),
        kill_after_s=settings.kill_after_s,
        change_limit_s=settings.change_limit_s,
    )
    return ForwardingNode(settings.hall, random.Random(), options)


def _slow_start_limit(settings: ForwardingSettings) -> SlowStartLimit | None:
    """Return the limit of new flows to cold back ends, None if the settings set none."""
    if settings.cold_slack_per_s is None:
        return None
    return SlowStartLimit(settings.cold_factor, settings.cold_slack_per_s)


def _log_start(settings: ForwardingSettings, descriptors: BoundDescriptors, logs: LogWriter) -> None:
    logs.write(WriteLog(LogKind.STARTED, settings.name, f"zone={settings.hall} store={settings.store}"))
    if isinstance(descriptors.metrics, NotBound):
        reason = f"reason={descriptors.metrics.reason}"
        logs.write(WriteLog(LogKind.METRICS_NOT_SERVED, settings.metrics, reason))

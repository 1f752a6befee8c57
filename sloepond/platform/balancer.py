"""A balancer on the platform: the forwarding service with the platform's formats."""

from __future__ import annotations

import random

from sloepond.core.forwarding.commands import LogKind, WriteLog
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.core.forwarding.placement.places import PlaceRules
from sloepond.core.forwarding.placement.slow_start import SlowStartLimit
from sloepond.platform.packet_codec import EchoPacketCodec
from sloepond.platform.settings import FILE_NAMES, read_settings
from sloepond.platform.store import PlatformStoreCodec
from sloepond.runtime.forwarding.data_path import DataPath
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
from sloepond.runtime.garbage_collection import resume_garbage_collection


def run_balancer(settings: ForwardingSettings, descriptors: BoundDescriptors, signals: int) -> None:
    """Run until SIGTERM has stopped it.

    :param signals: descriptor that receives the number of each signal as a byte.
    """
    sockets = BoundSockets(descriptors, signals)
    slack_per_s = settings.cold_slack_per_s
    node = ForwardingNode(
        settings.hall,
        random.Random(),
        settings.ip,
        settings.seeds,
        PlaceRules(regions=settings.regions),
        settings.capacity,
        None if slack_per_s is None else SlowStartLimit(settings.cold_factor, slack_per_s),
        settings.kill_after_s,
        settings.change_limit_s,
    )
    logs = LogWriter(node.counters)
    logs.write(WriteLog(LogKind.STARTED, settings.name, f"zone={settings.hall} store={settings.store}"))
    if isinstance(descriptors.metrics, NotBound):
        reason = f"reason={descriptors.metrics.reason}"
        logs.write(WriteLog(LogKind.METRICS_NOT_SERVED, settings.metrics, reason))
    loop = EventLoop()
    data_path = DataPath(sockets.edge, EchoPacketCodec(int(settings.edge.rpartition(":")[2])), node, logs)
    store = StoreClient(loop, settings.store, PlatformStoreCodec(), logs)
    reloader = SettingsReloader(read_settings, settings, logs, FILE_NAMES)
    reloader.log_ignored(settings)
    service = ForwardingService(loop, sockets, data_path, store, node, logs, reloader)
    resume_garbage_collection()
    service.run()

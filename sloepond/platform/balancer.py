"""A balancer on the platform: the forwarding service with the platform's formats."""

from __future__ import annotations

import random

from sloepond.core.forwarding.commands import LogKind, WriteLog
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.platform.packet_codec import EchoPacketCodec
from sloepond.platform.settings import read_settings
from sloepond.platform.store import PlatformStoreCodec
from sloepond.runtime.forwarding.data_path import DataPath
from sloepond.runtime.forwarding.drivers import BoundSockets, ForwardingSettings
from sloepond.runtime.forwarding.early import EarlyForwarding
from sloepond.runtime.forwarding.log_writer import LogWriter


def run_balancer(settings: ForwardingSettings, sockets: BoundSockets, signals: list[int]) -> None:
    """Run until SIGTERM has stopped it.

    :param signals: filled by signal handlers until the service takes signals itself.
    """
    node = ForwardingNode(
        settings.zone, random.Random(), settings.ip, settings.seeds, capacity=settings.capacity
    )
    logs = LogWriter(node.counters)
    logs.write(WriteLog(LogKind.STARTED, settings.name, f"zone={settings.zone} store={settings.store}"))
    data_path = DataPath(sockets.edge, EchoPacketCodec(int(settings.edge.rpartition(":")[2])), node, logs)
    codec = PlatformStoreCodec()
    host, _, port = settings.store.rpartition(":")
    early = EarlyForwarding(sockets, data_path, (host, int(port)), codec, node, logs)
    begun = early.run(signals)

    import trio

    from sloepond.runtime.forwarding.reloading import SettingsReloader
    from sloepond.runtime.forwarding.service import ForwardingService
    from sloepond.runtime.forwarding.store_client import StoreClient

    reloader = SettingsReloader(read_settings, settings, logs)
    store = StoreClient(settings.store, codec)
    service = ForwardingService(sockets, data_path, store, node, logs, reloader)
    trio.run(service.run, begun)

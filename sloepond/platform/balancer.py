"""A balancer on the platform: the forwarding service with the platform's drivers."""

from __future__ import annotations

import random

import trio

from sloepond.core.forwarding.events import LogKind, WriteLog
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.platform.packet_codec import EchoPacketCodec
from sloepond.platform.settings import read_settings
from sloepond.platform.store import PlatformStore
from sloepond.runtime.forwarding.drivers import BoundSockets, ForwardingSettings
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.service import ForwardingService


def run_balancer(settings: ForwardingSettings, sockets: BoundSockets) -> None:
    """Run until SIGTERM has stopped it."""
    node = ForwardingNode(settings.zone, random.Random(), settings.ip, settings.seeds)
    logs = LogWriter(node.counters)
    logs.write(WriteLog(LogKind.STARTED, settings.name, f"zone={settings.zone} store={settings.store}"))
    codec = EchoPacketCodec(int(settings.edge.rpartition(":")[2]))

    def reload() -> None:
        changed = read_settings()
        logs.write(WriteLog(LogKind.SETTINGS_CHANGED, changed.name, f"changed={changed != settings}"))

    service = ForwardingService(sockets, codec, PlatformStore(settings.store), node, logs, reload)
    trio.run(service.run)

"""Runs the forwarding service with the platform's packet, store and settings formats."""

from __future__ import annotations

from sloepond.platform.packet_codec import PlatformPacketCodec
from sloepond.platform.settings import FILE_NAMES, read_settings
from sloepond.platform.store import PlatformStoreCodec
from sloepond.runtime.forwarding.assembly import assemble_service
from sloepond.runtime.forwarding.drivers import PlatformDrivers
from sloepond.runtime.forwarding.process import BoundDescriptors, ForwardingSettings, split_address
from sloepond.runtime.garbage_collection import resume_garbage_collection


def run_balancer(settings: ForwardingSettings, descriptors: BoundDescriptors, signals: int) -> None:
    """Run until a planned stop is complete.

    :param signals: descriptor that yields the number of each received signal as one byte.
    """
    _, reply_port = split_address(settings.edge)
    drivers = PlatformDrivers(
        PlatformPacketCodec(reply_port), PlatformStoreCodec(), read_settings, FILE_NAMES
    )
    service = assemble_service(settings, descriptors, signals, drivers)
    resume_garbage_collection()
    service.run()

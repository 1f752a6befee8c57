"""Settings of a balancer's node, each with its unit.

The settings file holds them under `node` (see `runtime.settings_file`).
"""

from __future__ import annotations

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a balancer finds other balancers.

    :ivar seeds: peer addresses `ip:port` from which the configuration is requested while none is in force.
    :ivar machine_list_interval_s: time between reads of the platform's list of machines, seconds.
    """

    seeds: tuple[str, ...] = ()
    machine_list_interval_s: float = 10.0


class ConfigurationSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Reading and distributing the configuration.

    :ivar read_interval_s: time between reads of the platform's configuration, seconds.
    :ivar startup_wait_s: time for which a starting balancer waits for announcements of peers before it
        accepts a configuration from the platform, seconds.
    :ivar part_bytes: size of one part in bytes; with its envelope it fits into one
        Ethernet frame.
    :ivar bytes_per_second: rate limit of parts sent to all peers.
    :ivar delta_history: number of generations for which deltas are kept.
    :ivar request_timeout_s: time until a request for parts is repeated, seconds.
    """

    read_interval_s: float = 1.0
    startup_wait_s: float = 2.0
    part_bytes: int = 1000
    bytes_per_second: int = 1_000_000
    delta_history: int = 64
    request_timeout_s: float = 0.4


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Planned stop.

    :ivar deadline_s: seconds after which the stop completes even if the balancer is busy.
    """

    deadline_s: float = 60.0


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of the core."""

    membership: MembershipSettings = MembershipSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    stop: StopSettings = StopSettings()

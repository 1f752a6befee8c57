"""Settings of the core, each with its unit; read from the settings file."""

from __future__ import annotations

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Failure detection, leases and agreement on views.

    :ivar cell: name of the cell; only members of one cell agree on views.
    :ivar bootstrap: names of the members that form the first view; a majority
        of them must be up and without a view.
    :ivar seeds: peer addresses `ip:port` asked first when joining.
    :ivar heartbeat_interval_s: time between heartbeats to each member.
    :ivar suspect_after_s: silence after which packets avoid a member.
    :ivar evict_after_s: silence after which a view without it is proposed.
    :ivar lease_s: time a heartbeat that a quorum echoed keeps the lease.
    :ivar clock_margin_s: added to the lease when waiting out another's.
    :ivar proposal_timeout_s: time a proposal waits for a quorum.
    """

    cell: str = "default"
    bootstrap: tuple[str, ...] = ()
    seeds: tuple[str, ...] = ()
    heartbeat_interval_s: float = 0.5
    suspect_after_s: float = 1.2
    evict_after_s: float = 3.0
    lease_s: float = 2.0
    clock_margin_s: float = 0.2
    proposal_timeout_s: float = 0.5
    machine_list_interval_s: float = 10.0


class ConfigurationSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Reading and spreading the configuration.

    :ivar read_interval_s: time between reads by the cell's reader.
    :ivar startup_wait_s: time a starting balancer asks peers before it trusts
        the platform alone.
    :ivar part_bytes: size of one part in bytes.
    :ivar bytes_per_second: rate limit of parts sent to all peers.
    :ivar delta_history: generations for which deltas are kept.
    """

    read_interval_s: float = 1.0
    startup_wait_s: float = 2.0
    part_bytes: int = 1000
    bytes_per_second: int = 1_000_000
    delta_history: int = 64
    request_timeout_s: float = 0.4


TOKEN_POLICY = "token"
"""Policy by which packets carry a token and no flow is replicated."""


class RoutingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Flow replicas and placement.

    :ivar partitions: number of partitions of the flow space in a cell.
    :ivar replicas: balancers that hold each flow.
    :ivar policy: name of a placement policy, or
        `token`: packets carry a routing token, and no flow is replicated.
    :ivar record_retry_s: time until a record without answer is sent again.
    :ivar lookup_timeout_s: time a lookup waits for former replicas.
    :ivar transfer_bytes_per_second: rate limit of copying entries to new replicas.
    """

    partitions: int = 512
    replicas: int = 3
    policy: str = "bounded-load"
    record_retry_s: float = 0.05
    record_attempts: int = 6
    lookup_timeout_s: float = 0.08
    transfer_bytes_per_second: int = 64_000
    maximum_flows: int = 400_000
    maximum_hops: int = 4
    search_timeout_s: float = 0.1


class RequestSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests: budgets, limits and caches.

    :ivar retry_ratio: retries earned by each first attempt.
    :ivar retry_burst: retries that may be saved up.
    :ivar answer_cache_bytes: answers kept for repeated packets, in bytes.
    :ivar answer_cache_s: seconds an answer is kept.
    :ivar datagram_lifetime_s: longest time the network may hold a datagram.
    """

    retry_ratio: float = 0.1
    retry_burst: float = 50.0
    answer_cache_bytes: int = 4_000_000
    answer_cache_s: float = 10.0
    datagram_lifetime_s: float = 2.0
    retry_after_ms: int = 500


class HealthSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Probing, load estimates and outlier ejection.

    :ivar probe_interval_s: time between probes of one back end by one prober.
    :ivar probers_per_backend: balancers of the cell that probe each back end.
    :ivar estimate_half_life_s: age at which a load report counts half.
    :ivar eject_after_failures: failures in a row without success that eject.
    :ivar eject_s: first ejection time; doubles up to `eject_maximum_s`.
    :ivar minimum_available: share of a service's back ends never ejected.
    :ivar slow_start_s: time over which a new or restored back end warms up.
    """

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.5
    probers_per_backend: int = 2
    estimate_half_life_s: float = 1.0
    eject_after_failures: int = 5
    eject_s: float = 5.0
    eject_maximum_s: float = 60.0
    minimum_available: float = 0.5
    slow_start_s: float = 5.0
    samples_per_heartbeat: int = 4


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Planned stop.

    :ivar deadline_s: seconds after which the stop completes even if busy.
    :ivar idle_s: seconds without work of its own after which a stopping balancer
        ends; meanwhile it still repeats answers to callers that missed them.
    """

    deadline_s: float = 60.0
    idle_s: float = 3.0


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of the core."""

    membership: MembershipSettings = MembershipSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    routing: RoutingSettings = RoutingSettings()
    requests: RequestSettings = RequestSettings()
    health: HealthSettings = HealthSettings()
    stop: StopSettings = StopSettings()
    stall_s: float = 1.0
    """A gap between events and their deadline that counts as a stall, seconds."""

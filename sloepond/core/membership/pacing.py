"""How often a cell of a given size sends heartbeats, and what follows from it.

Each member sends a heartbeat to every other member in each round.  In large
cells the rounds are further apart, so that one member's heartbeats stay within
a budget of bytes a second; the times for suspicion, eviction and leases follow.
"""

from __future__ import annotations

import msgspec

from sloepond.core.settings import MembershipSettings

HEARTBEAT_BYTES = 74
"""Usual size of one heartbeat without load samples, headers included."""

HEARTBEAT_BYTES_PER_SECOND = 1_050
"""Budget of one member's rounds without load samples; the rest of 1,200 is for
heartbeats sent again after a loss."""

TOTAL_BYTES_PER_SECOND = 1_500
"""Budget of one member's heartbeats with load samples."""

LOAD_SAMPLE_BYTES = 22
"""Usual size of one load sample inside a heartbeat."""

MAXIMUM_MEMBERS = 16
"""Largest cell; each further member would make suspicion and leases slower."""

LEASE_INTERVALS = 2.8
"""Least length of the lease in heartbeat intervals: an echoed stamp is up to two
intervals old when the next one arrives, and some heartbeats are lost."""


class HeartbeatPace(msgspec.Struct, frozen=True):
    """Times of the failure detector, in seconds.

    :ivar interval_s: time between rounds of heartbeats.
    :ivar suspect_after_s: silence after which a member is suspected.
    :ivar evict_after_s: silence after which its eviction is proposed.
    :ivar lease_s: time an echoed stamp keeps the lease.
    :ivar sample_limit: load samples that fit into one heartbeat.
    """

    interval_s: float
    suspect_after_s: float
    evict_after_s: float
    lease_s: float
    sample_limit: int


def pace_for(settings: MembershipSettings, member_count: int) -> HeartbeatPace:
    """Return the pace of a cell of `member_count` members."""
    peers = max(1, member_count - 1)
    budget_interval = peers * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_SECOND
    interval = max(settings.heartbeat_interval_s, budget_interval)
    stretch = interval / settings.heartbeat_interval_s
    suspect_after = settings.suspect_after_s * stretch
    per_heartbeat = TOTAL_BYTES_PER_SECOND * interval / peers
    samples = int((per_heartbeat - HEARTBEAT_BYTES) / LOAD_SAMPLE_BYTES)
    return HeartbeatPace(
        interval_s=interval,
        suspect_after_s=suspect_after,
        evict_after_s=max(settings.evict_after_s, suspect_after + interval),
        lease_s=max(settings.lease_s, LEASE_INTERVALS * interval),
        sample_limit=max(0, samples),
    )

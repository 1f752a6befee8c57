"""Counters of one node; plain integers, read by metrics, status and the lab.

Owns the names, which the operators' API exports.  Relies on the node and the daemon to count.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts since the start of the process; they never decrease.

    The operators' API exports each field as `sloepond_<field>_total`.
    """

    caller_packets: int = 0
    peer_messages: int = 0
    stalls_detected: int = 0
    configuration_reads: int = 0
    configuration_read_failures: int = 0
    configuration_rejected: int = 0
    configuration_older_ignored: int = 0
    configuration_parts_sent: int = 0
    configuration_parts_received: int = 0
    configuration_changes: int = 0
    input_malformed: int = 0
    input_oversized: int = 0
    input_unauthenticated: int = 0
    input_replayed: int = 0
    handler_failures: int = 0
    sends_dropped: int = 0
    sends_failed: int = 0
    commands_stale: int = 0
    machine_list_read_failures: int = 0

    # Always 0: balancers store no flows or requests, and monitor neither back ends nor each other here.
    # Exported so that dashboards and alarms that use these names keep working.
    backend_replies: int = 0
    caller_packets_forwarded: int = 0
    caller_packets_dropped: int = 0
    hop_limit_reached: int = 0
    flows_opened: int = 0
    flows_refused: int = 0
    flows_lost: int = 0
    flows_closed: int = 0
    flows_expired: int = 0
    flows_recovered_by_lookup: int = 0
    flows_recovered_by_search: int = 0
    flow_conflicts: int = 0
    place_refusals: int = 0
    records_sent: int = 0
    records_retried: int = 0
    records_confirmed: int = 0
    records_rejected: int = 0
    lookups_sent: int = 0
    lookups_hit: int = 0
    lookups_missed: int = 0
    transfers_sent: int = 0
    transfer_entries: int = 0
    partitions_incomplete: int = 0
    requests_handed_over: int = 0
    requests_answered: int = 0
    requests_refused: int = 0
    requests_unknown: int = 0
    requests_retried: int = 0
    requests_cancelled: int = 0
    requests_duplicate: int = 0
    retry_budget_exhausted: int = 0
    answers_late: int = 0
    answers_crossed: int = 0
    answers_resent: int = 0
    deadlines_passed: int = 0
    probes_sent: int = 0
    probes_failed: int = 0
    backends_ejected: int = 0
    backends_restored: int = 0
    heartbeats_sent: int = 0
    heartbeats_received: int = 0
    views_proposed: int = 0
    views_changed: int = 0
    members_suspected: int = 0
    leases_lost: int = 0

"""Counters of the forwarding data path and of what it believes."""

from __future__ import annotations

import msgspec


class ForwardingCounters(msgspec.Struct):
    """Counts since the start of the process; names are those of the metrics."""

    packets_received: int = 0
    packets_forwarded: int = 0
    packets_malformed: int = 0
    sends_failed: int = 0
    flows_placed: int = 0
    second_choices: int = 0
    resets_sent: int = 0
    flows_reset_resting: int = 0
    openings_unanswered: int = 0
    refused_no_route: int = 0
    refused_no_backend: int = 0
    flows_held: int = 0
    flows_diverted: int = 0
    refused_unknown_token: int = 0
    refused_no_token: int = 0
    refused_not_configured: int = 0
    refused_stale_knowledge: int = 0
    refused_unreachable: int = 0
    backends_checked: int = 0
    backends_unreachable: int = 0
    requests_unanswered: int = 0
    failure_reports_sent: int = 0
    failure_reports_received: int = 0
    backends_judged_failing: int = 0
    packets_while_stopping: int = 0
    packets_waited_too_long: int = 0
    tokens_looked_up: int = 0
    tokens_found_by_peers: int = 0
    held_packets_dropped: int = 0
    knowledge_taken: int = 0
    behind_peers: int = 0
    knowledge_old: int = 0
    lists_differing: int = 0
    changes_missed: int = 0
    flows_placed_unconfirmed: int = 0
    own_reads: int = 0
    store_reads: int = 0
    store_watches: int = 0
    store_probes: int = 0
    role_changes: int = 0
    store_failures: int = 0
    configurations_taken: int = 0
    backend_changes: int = 0
    stalls_detected: int = 0
    peer_messages_received: int = 0
    peer_messages_sent: int = 0
    peer_messages_malformed: int = 0
    heartbeat_bytes_sent: int = 0
    token_bytes_sent: int = 0
    confirmation_bytes_sent: int = 0
    change_bytes_sent: int = 0
    unreachable_bytes_sent: int = 0
    failure_bytes_sent: int = 0
    stream_bytes_sent: int = 0
    stream_bytes_received: int = 0
    store_bytes_received: int = 0
    fetches_failed: int = 0
    receives_failed: int = 0
    accepts_failed: int = 0
    check_connections_failed: int = 0
    connections_turned_away: int = 0
    connections_broken: int = 0
    requests_malformed: int = 0
    log_lines_dropped: int = 0

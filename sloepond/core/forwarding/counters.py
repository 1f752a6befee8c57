"""Counters of one forwarding process.

Owns: the counts; every part and the runtime add to them.  Relies on: the metrics page, which names each
metric after its field, `sloepond_<field>_total`, so a field is not renamed.
"""

from __future__ import annotations

import msgspec


class ForwardingCounters(msgspec.Struct):
    """Counts since the start of the process.

    Callers' packets and flows:

    :ivar packets_received: packets received from callers.
    :ivar packets_forwarded: packets forwarded to a back end.
    :ivar packets_malformed: packets that could not be decoded, dropped.
    :ivar packets_waited_too_long: packets dropped because they were too long in the socket's buffer.
    :ivar packets_while_stopping: packets received after the request to stop.
    :ivar sends_failed: datagrams of any kind that the system refused to send.
    :ivar flows_placed: new flows assigned to a back end.
    :ivar flows_placed_unconfirmed: those of them placed while routes or back ends were stale
        (`STALE_AFTER_S`).
    :ivar second_choices: retransmitted opening packets that were assigned to another back end.
    :ivar flows_held: opening packets queued for spare capacity.
    :ivar flows_diverted: flows assigned to another service of their route for lack of spare capacity.
    :ivar resets_sent: resets sent to callers.
    :ivar flows_reset_resting: resets of idle flows whose back end is gone.
    :ivar openings_unanswered: opening packets that no other packet of the caller followed.
    :ivar requests_unanswered: requests that a back end did not answer in time.

    Packets not forwarded, by `Refusal`: `refused_*`.

    Health of back ends:

    :ivar backends_checked: checks whether a back end can be reached.
    :ivar backends_unreachable: checks that found it unreachable.
    :ivar failure_reports_sent: reports of unanswered requests sent to the balancers assigned to
        a back end.
    :ivar failure_reports_received: reports received as a balancer assigned to a back end.
    :ivar backends_judged_failing: ejections that this balancer has decided, as one assigned to the back end.

    Tokens:

    :ivar tokens_looked_up: unknown tokens that were requested from peers.
    :ivar tokens_found_by_peers: back ends received in replies.
    :ivar held_packets_dropped: buffered packets dropped because no peer resolved their token in time.

    Store and dissemination:

    :ivar store_reads: reads of a whole subject.
    :ivar store_watches: watches.
    :ivar store_probes: probes.
    :ivar store_verifications: verifications of a watch that may have lost its answer.
    :ivar store_failures: reads, watches and verifications that failed.
    :ivar store_bytes_received: bytes of the store's answers.
    :ivar own_reads: reads by a follower that receives no confirmations.
    :ivar configurations_taken: versions of the routes that came into force.
    :ivar backend_changes: changes of back ends applied, from the store or a peer.
    :ivar backends_unreadable: entries of the list that describe no usable back end, counted when applied.
    :ivar knowledge_taken: snapshots applied from a peer.
    :ivar knowledge_old: times that routes or back ends became stale (`STALE_AFTER_S`).
    :ivar behind_peers: reads of the store because no peer sent newer content that another peer holds.
    :ivar lists_differing: reads because the readers hold a different list of back ends.
    :ivar changes_missed: verifications that showed a change which the watch had not brought.
    :ivar role_changes: changes of the role in the reader election.
    :ivar stalls_detected: times that the process had not run for longer than `STALL_THRESHOLD_S`.

    Peers:

    :ivar peer_messages_received: datagrams from peers.
    :ivar peer_messages_sent: datagrams to peers.
    :ivar peer_messages_malformed: datagrams that could not be decoded, dropped.
    :ivar heartbeat_bytes_sent: bytes of heartbeats; other `*_bytes_sent` count the other kinds of message.
    :ivar stream_bytes_sent: bytes of snapshots and routes sent over streams.
    :ivar stream_bytes_received: bytes of snapshots and routes received over streams.
    :ivar fetches_failed: requests over streams that failed, or that a peer could not answer.

    The process:

    :ivar receives_failed: system errors on receiving a datagram.
    :ivar accepts_failed: system errors on accepting a connection.
    :ivar check_connections_failed: system errors on opening a connection for a check.
    :ivar connections_turned_away: connections closed at once because too many were open.
    :ivar connections_broken: connections that ended in an error.
    :ivar requests_malformed: requests to the metrics page that could not be read.
    :ivar log_lines_dropped: log lines that could not be written.
    """

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
    backends_unreadable: int = 0
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
    store_verifications: int = 0
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

"""Steps on messages between a stopping balancer and its hall, and on a new reader's first confirmation."""

from __future__ import annotations

from behave import given, then, when
from forwarding_model import Harness, record, records
from forwarding_stop_steps import RoutedFleet, taken_away

from sloepond.core.forwarding.commands import SendToPeer
from sloepond.core.forwarding.events import PeerMessageReceived, StopRequested, TimerFired
from sloepond.core.forwarding.peers.messages import Confirmation, Heartbeat
from sloepond.core.forwarding.state.backend_records import BackendState

HALL = "north"
"""Hall of the node of the harness."""
NEAR, FAR, UNKNOWN = "10.1.0.2", "10.1.0.3", "10.1.0.4"
SEEDS = range(1, 9)
"""Seeds of the simulated fleets."""
CHANGED = 3
"""Number of the back end that is leaving when the new reader reads."""


def heartbeats_to(harness, ip):
    """Return and forget the heartbeats sent to a peer."""
    sent = [command for command in harness.all(SendToPeer) if isinstance(command.message, Heartbeat)]
    return [command.message for command in sent if command.ip == ip]


def receive_heartbeat(harness, ip, hall, is_leaving=False):
    """Handle a heartbeat of a peer."""
    known = ("10.1.0.7", "10.1.0.8", "10.1.0.9", "10.1.0.10")
    harness.handle(PeerMessageReceived(ip, Heartbeat(7, 10, is_leaving, known, hall)))


@given("a forwarding node that knows one peer in its hall, one in another hall, and one by address only")
def three_peers(context):
    context.harness = harness = Harness().configure()
    receive_heartbeat(harness, NEAR, HALL)
    receive_heartbeat(harness, FAR, "south")
    named = Heartbeat(7, 10, False, (UNKNOWN,), "south")
    harness.handle(PeerMessageReceived(FAR, named))
    harness.commands.clear()


@when("forwarding is requested to stop while it has peers")
def asked_to_stop(context):
    context.harness.handle(StopRequested())


@then("forwarding notifies the peer in its hall and the one known by address only")
def notifies_both(context):
    sent = [command for command in context.harness.all(SendToPeer) if isinstance(command.message, Heartbeat)]
    notified = {command.ip for command in sent if command.message.is_leaving}
    assert {NEAR, UNKNOWN} <= notified and FAR not in notified, notified


@when("the peer in its hall announces twice that it is stopping")
def peer_stops(context):
    receive_heartbeat(context.harness, NEAR, HALL, is_leaving=True)
    receive_heartbeat(context.harness, NEAR, HALL, is_leaving=True)


@when("the peer in the other hall announces that it is stopping")
def far_peer_stops(context):
    receive_heartbeat(context.harness, FAR, "south", is_leaving=True)


@then("forwarding sends it one heartbeat that names its own hall")
def answered_once(context):
    sent = heartbeats_to(context.harness, NEAR)
    assert [heartbeat.hall for heartbeat in sent] == [HALL], sent


@then("forwarding sends the peer in the other hall no heartbeat")
def far_not_answered(context):
    assert heartbeats_to(context.harness, FAR) == []


@then(
    "for each of {count:d} seeds at most half as many packets are lost as with stops that end after "
    "1.8 seconds"
)
def fewer_lost_each_seed(context, count):
    assert count == len(SEEDS)
    for seed in SEEDS:
        RoutedFleet.seed = seed
        try:
            taken_away(context, 5)
        finally:
            RoutedFleet.seed = 1
        by_evidence, by_time = context.lost
        assert by_evidence <= by_time / 2, (seed, context.lost)


@given("a forwarding node that has all changes up to revision {revision:d}")
def all_changes_up_to(context, revision):
    context.harness = Harness().configure(revision=revision)


@when("forwarding becomes a reader and reads at revision {revision:d} that a back end is leaving")
def reads_as_reader(context, revision):
    changed = record(CHANGED, revision=revision, state=BackendState.LEAVING)
    listed = tuple(changed if each.name == changed.name else each for each in records())
    context.harness.become_reader(revision, backends=listed)


@then("its first confirmation contains all changes from revision {base:d} to {revision:d}")
def first_confirmation(context, base, revision):
    harness = context.harness
    harness.run_to(harness.now + 0.1, TimerFired())
    sent = [each.message for each in harness.all(SendToPeer) if isinstance(each.message, Confirmation)]
    changes = next(message.changes for message in sent if not message.is_candidacy)
    assert (changes.base_revision, changes.revision) == (base, revision), changes
    assert [known.record.name for known in changes.backends] == [record(CHANGED).name]

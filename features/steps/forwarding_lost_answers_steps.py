"""Steps on a store that loses its answers to calls: the connection of a lost one says nothing more."""

from __future__ import annotations

import dataclasses
import random

from behave import given, then, when
from forwarding_fleet import TIMEOUT_S, Fleet, route
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from sloepond.core.forwarding.commands import ProbeStore, ReadSubject, VerifySubject, WatchSubject
from sloepond.core.forwarding.events import StoreFailure, Subject
from sloepond.core.forwarding.state.backend_records import BackendState

SETTLED_S = 6.0
LOST_S = 0.5
"""How long the store loses answers around the first change, in seconds."""
HIDDEN_LOST_S = 0.1
"""How long it loses them around the second one, whose answers are due at once."""
WATCH_MARGIN_S = 0.7
"""Seconds after the requested time at which the runtime times a watch out."""
SERIES_S = 12.0
"""Length of a series of changes, in seconds."""
WITHOUT_SHRINKING = (Phase.explicit, Phase.generate)
"""A smaller seed of a fleet is not a simpler case, and shrinking takes minutes."""
PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=40, phases=WITHOUT_SHRINKING)


class LossyStoreFleet(Fleet):
    """A fleet whose store loses the answers to some calls.

    :ivar is_lost: whether the answer to a call is lost, given the call.
    """

    def __init__(self, *arguments, **options):
        self.is_lost = lambda command: False
        super().__init__(*arguments, **options)

    def call(self, ip, node, command):
        """Lose the answer to a call at once, or let the store answer it; watches are lost when answered."""
        if isinstance(command, WatchSubject) or not self.is_lost(command):
            super().call(ip, node, command)
            return
        self.store.calls += 1
        self.later(TIMEOUT_S, ip, node, self.failure(command, StoreFailure.TIMED_OUT))

    def answer_watches(self):
        """Answer the watches for which there are changes, or lose the answer."""
        for key, (node, command) in list(self.watches.items()):
            if self.store.changes(command) is not None and self.is_lost(command):
                del self.watches[key]
                failed = self.failure(command, StoreFailure.TIMED_OUT)
                self.later(command.timeout_s + WATCH_MARGIN_S, key[0], node, failed)
        super().answer_watches()


@dataclasses.dataclass
class Changes:
    """Makes one change of each kind in the store of a fleet; numbers of back ends are used once."""

    fleet: Fleet
    next_number: int = 40

    def add(self):
        """Add a back end."""
        self.next_number += 1
        self.fleet.store.put(self.next_number, self.fleet.now)

    def leave(self):
        """Let the first back end that is ready say that it leaves, after adding one if none is."""
        if not self._ready_entries():
            self.add()
        entry, *_ = self._ready_entries()
        self.fleet.store.put(entry.number, self.fleet.now, BackendState.LEAVING, entry.hall)

    def remove(self):
        """Remove the first back end of two or more; its number is not used again."""
        if len(self._entries()) == 1:
            self.add()
        entry, *_ = self._entries()
        self.fleet.store.remove(entry.number, self.fleet.now)

    def move(self):
        """Write the entry of the last back end with another hall."""
        *_, entry = self._entries()
        self.fleet.store.put(entry.number, self.fleet.now, entry.state, hall=f"z{self.fleet.store.revision}")

    def configure(self):
        """Write a version of the routes."""
        self.next_number += 1
        routes = [*self.fleet.store.routes.routes[1:], route(self.next_number)]
        self.fleet.store.configure(routes, self.fleet.now)

    def evacuate(self):
        """Evacuate a zone, or end the evacuation."""
        store = self.fleet.store
        store.evacuate("z1", self.fleet.now, "z1" not in store.evacuated)

    def other(self):
        """Change a key that no balancer watches."""
        self.fleet.store.revision += 1

    def _entries(self):
        return list(self.fleet.store.backends.values())

    def _ready_entries(self):
        return [each for each in self._entries() if each.state is BackendState.READY]


KINDS = {
    "a back end is added": Changes.add,
    "a back end begins to leave": Changes.leave,
    "a back end is gone": Changes.remove,
    "a back end moves its zone": Changes.move,
    "the routes change": Changes.configure,
    "a zone is evacuated": Changes.evacuate,
    "other keys change": Changes.other,
}

SUBJECTS = {"routes": Subject.ROUTES, "back ends": Subject.BACKENDS}


@given("a simulated fleet of {count:d} forwarding nodes whose store may lose answers")
def lossy_fleet(context, count):
    context.fleet = LossyStoreFleet(count)
    context.fleet.run(SETTLED_S)
    context.changes = Changes(context.fleet)


def lose_watches(context, seconds, change):
    """Make a change while the store loses the answers to watches for some seconds."""
    fleet = context.fleet
    fleet.is_lost = lambda command: isinstance(command, WatchSubject)
    change(context.changes)
    fleet.run(seconds)
    fleet.is_lost = lambda command: False


@when("the store loses the answers to watches while a back end is added, and again while {hidden}")
def loses_twice(context, hidden):
    lose_watches(context, LOST_S, Changes.add)
    context.fleet.run(4.5)
    context.fleet.is_lost = lambda command: isinstance(command, WatchSubject)
    KINDS[hidden](context.changes)
    context.hidden_revision = context.fleet.store.revision
    context.fleet.run(HIDDEN_LOST_S)
    context.fleet.is_lost = lambda command: False


@when("the store loses the answers to watches of the {subject} while {hidden}")
def loses_one_subject(context, subject, hidden):
    fleet = context.fleet
    lost = SUBJECTS[subject]
    fleet.is_lost = lambda command: isinstance(command, WatchSubject) and command.subject is lost
    KINDS[hidden](context.changes)
    context.hidden_revision = fleet.store.revision
    fleet.run(HIDDEN_LOST_S)
    fleet.is_lost = lambda command: False


@when("the store loses the answers to watches while a back end is added, and serves for {seconds:g} seconds")
def loses_once(context, seconds):
    lose_watches(context, LOST_S, Changes.add)
    context.fleet.run(seconds)


@when("{change} every {interval:g} seconds for {seconds:g} seconds")
def changes_repeatedly(context, change, interval, seconds):
    for _ in range(round(seconds / interval)):
        KINDS[change](context.changes)
        context.fleet.run(interval)


@then("all nodes of the forwarding fleet know the change whose answers were lost")
def know_hidden(context):
    fleet = context.fleet
    late = [ip for ip, node in fleet.nodes.items() if not fleet.has_changes_to(node, context.hidden_revision)]
    assert not late, late


@when("the store serves the forwarding fleet for {seconds:g} seconds without any change")
def serves(context, seconds):
    context.fleet.verifications = 0
    context.fleet.run(seconds)


@then("the forwarding fleet has verified no watch")
def verified_none(context):
    assert context.fleet.verifications == 0, context.fleet.verifications


def losses(chance, length_s):
    """Return windows of seconds, and the kinds of call whose answers are lost in each."""
    windows = []
    begins_at = chance.uniform(0.0, 2.0)
    while begins_at < length_s:
        ends_at = begins_at + chance.choice((0.1, 0.5, 1.5))
        kinds = [(WatchSubject, subject) for subject in Subject]
        kinds += [(kind, subject) for kind in (ReadSubject, VerifySubject) for subject in Subject]
        kinds.append((ProbeStore, None))
        windows.append((begins_at, ends_at, chance.sample(kinds, chance.randint(1, len(kinds)))))
        begins_at = ends_at + chance.choice((0.2, 1.0, 5.0, 7.0))
    return windows


def play_series(fleet, chance, bound_s, contact_s):
    """Make changes in series while answers are lost; check when each is in force."""
    changes, started_at = Changes(fleet), fleet.now
    windows = losses(chance, SERIES_S)
    kinds = chance.sample(list(KINDS.values()), chance.randint(2, len(KINDS)))
    step_s = chance.choice((0.1, 0.3, 1.0, 2.5))

    def is_lost(command):
        subject = getattr(command, "subject", None)
        at = fleet.now - started_at
        return any(begin <= at < end and (type(command), subject) in lost for begin, end, lost in windows)

    fleet.is_lost = is_lost
    due, last_due_at = [], 0.0
    while fleet.now - started_at < max(SERIES_S, last_due_at):
        at = fleet.now - started_at
        if at < SERIES_S:
            chance.choice(kinds)(changes)
            last_due_at = due_at(windows, at + bound_s, contact_s)
            due.append((last_due_at, fleet.store.revision))
        run_to(fleet, min([started_at + at + step_s, *(started_at + each for each, _ in due)]))
        check_due(fleet, due, fleet.now - started_at)


def run_to(fleet, time):
    """Advance the time of a fleet to a moment, by a millisecond at least."""
    fleet.run(max(0.001, time - fleet.now))


def due_at(windows, at, contact_s):
    """Return when a change must be in force: later if answers are lost shortly before."""
    for begin, end, _ in windows:
        if begin <= at:
            at = max(at, end + contact_s)
    return at


def check_due(fleet, due, at):
    """Check that each node knows what had to be in force by now."""
    while due and due[0][0] <= at:
        _, revision = due.pop(0)
        late = [ip for ip in fleet.ips if not fleet.has_changes_to(fleet.nodes[ip], revision)]
        assert not late, f"{late} lack changes up to revision {revision}, {at:.2f} s after the start"


@then(
    "forwarding property: each change is in force within {bound:g} seconds, or {contact:g} seconds after "
    "the last lost answer"
)
def in_force_whatever_is_lost(context, bound, contact):
    @PROPERTY
    @for_all(st.integers(0, 9_999), st.sampled_from((1, 2, 3, 5, 7, 20)))
    def check(seed, count):
        fleet = LossyStoreFleet(count, seed, loss=0.02, capacity=0.5)
        chance = random.Random(seed)
        fleet.run(SETTLED_S + chance.uniform(0.0, 1.0))
        play_series(fleet, chance, bound, contact)

    check()

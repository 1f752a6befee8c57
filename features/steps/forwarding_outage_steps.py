"""Steps on calls that are issued during an outage in which the store is silent."""

from __future__ import annotations

from behave import then
from forwarding_fleet import TIMEOUT_S, Fleet, route
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from sloepond.core.forwarding.commands import WatchSubject
from sloepond.core.forwarding.events import StoreFailure
from sloepond.core.forwarding.state.backend_records import BackendState

OUTAGE_S = 3.3
SETTLED_S = 6.0
WATCH_MARGIN_S = 0.7
"""Seconds after the requested time at which the runtime times a watch out."""
LEAVING = 3
"""Number of the back end that leaves after the outage."""
WITHOUT_SHRINKING = (Phase.explicit, Phase.generate)
"""A smaller seed of a fleet is not a simpler case, and shrinking takes minutes."""
PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=30, phases=WITHOUT_SHRINKING)


class SilentOutageFleet(Fleet):
    """A fleet whose calls issued during an outage are never answered, watches included.

    :ivar is_silent: whether the store is silent.
    """

    is_silent = False

    def call(self, ip, node, command):
        """Lose a call issued during the outage; it fails when the runtime would time it out."""
        if not self.is_silent:
            super().call(ip, node, command)
            return
        self.store.calls += 1
        timeout_s = TIMEOUT_S
        if isinstance(command, WatchSubject):
            timeout_s = command.timeout_s + WATCH_MARGIN_S
        self.later(timeout_s, ip, node, self.failure(command, StoreFailure.TIMED_OUT))

    def run_silent_outage(self, seconds):
        """Let the store be silent for some seconds; watches in flight are lost too."""
        self.is_silent = True
        for (ip, _), (node, command) in list(self.watches.items()):
            self.call(ip, node, command)
        self.watches.clear()
        self.run(seconds)
        self.is_silent = False


@then("forwarding property: changes after an outage arrive within {seconds:g} seconds, whatever hangs")
def known_after_outage(context, seconds):
    @PROPERTY
    @for_all(
        st.integers(0, 9_999),
        st.sampled_from((7, 24)),
        st.floats(0.0, 1.2),
        st.floats(0.0, 4.0),
        st.booleans(),
    )
    def check(seed, count, since_probe_s, before_s, is_route):
        fleet = SilentOutageFleet(count, seed, loss=0.02, capacity=0.5)
        fleet.run(SETTLED_S + since_probe_s)
        fleet.run_silent_outage(OUTAGE_S)
        fleet.run(before_s)
        if is_route:
            fleet.store.configure([*fleet.store.routes.routes, route(seed % 1000 + 10)], fleet.now)
        else:
            fleet.store.put(LEAVING, fleet.now, BackendState.LEAVING)
        fleet.run_until_known(seconds)

    check()

"""Decides whether new flows wait until the list of back ends is confirmed.

A balancer that has just started may begin with a list that is some seconds old.  That is sufficient to
forward the packets of open flows, but a back end that has become cold since then is not marked as cold in it.
The limit of slow start holds for the whole fleet, so every balancer that places flows by such a list exceeds
it.

Owns: no state.  Relies on: the watcher of the back ends, which gets the list confirmed, and the routes, which
name the services that need slow start.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.placement.slow_start import SlowStartLimit
from sloepond.core.forwarding.state.route_table import RouteTable
from sloepond.core.forwarding.state.routes import Route
from sloepond.core.forwarding.store.watcher import StoreWatcher

CONFIRMATION_TIMEOUT_S = 2.0
"""Seconds after the first list for which flows wait for its confirmation.  Without one by then, the store
and all readers are unreachable, and a list that is some seconds old is better than none.  Long enough for
several attempts of a read, whose delays add up to 1.0 s."""


class UnconfirmedList:
    """Determines whether the list of back ends may be too old for slow start.

    :param watcher: watcher of the back ends.
    :param limit: limit of slow start; no flow waits if there is none.
    """

    def __init__(self, watcher: StoreWatcher, routes: RouteTable, limit: SlowStartLimit | None) -> None:
        self._watcher = watcher
        self._routes = routes
        self._limit = limit

    def must_wait(self, route: Route, now: float) -> bool:
        """Return whether a new flow of a route has to wait.

        :param now: seconds of the node's clock.
        """
        if now >= self.ends_at:
            return False
        return any(self._routes.cold_start(share.service) is not None for share in route.shares)

    @property
    def ends_at(self) -> float:
        """Time until which new flows wait unless the list is confirmed earlier, `-NEVER` if none waits."""
        if self._limit is None or self._watcher.unconfirmed_since == NEVER:
            return -NEVER
        return self._watcher.unconfirmed_since + CONFIRMATION_TIMEOUT_S

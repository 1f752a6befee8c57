"""Whether new flows wait until the list of back ends is confirmed.

A fresh balancer may begin with a list that is some seconds old: enough to forward the packets of open
flows, but a back end that has become slow since then looks as fast as the others in it.  Slow start is
counted over the whole fleet, so every balancer that begins like this exceeds what the back end bears.
Measured in a model of 20 balancers of which 6 are killed and the network is parted in three as 12 back ends
become slow: 58 of the 85 openings in the seconds above the limit were placed by such a list.

Owns no state.  Relies on the watcher of the back ends, which has the list confirmed, and on the routes,
which say whose back ends are slow after a start.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.placement.slow_start import SlowStartLimit
from sloepond.core.forwarding.state.route_table import RouteTable
from sloepond.core.forwarding.state.routes import Route
from sloepond.core.forwarding.store.watcher import StoreWatcher

LONGEST_WAIT_S = 2.0
"""Seconds after the first list for which a confirmation is waited for; then the store and all readers are
out of reach, and a list that is some seconds old is better than none.  Not measured: several tries of a
read, whose waits add up to 1.0 s."""


class UnconfirmedList:
    """Whether what is known of the back ends is too uncertain for slow start.

    :param watcher: of the back ends.
    :param limit: limit of slow start; without one nothing waits.
    """

    def __init__(self, watcher: StoreWatcher, routes: RouteTable, limit: SlowStartLimit | None) -> None:
        self._watcher = watcher
        self._routes = routes
        self._limit = limit

    def must_wait(self, route: Route, now: float) -> bool:
        """Tell whether a new flow of a route waits.

        :param now: seconds of the node's clock.
        """
        if now >= self.ends_at:
            return False
        return any(self._routes.cold_start(share.service) is not None for share in route.shares)

    @property
    def ends_at(self) -> float:
        """Until when new flows wait unless the list is confirmed sooner, `-NEVER` where none waits."""
        if self._limit is None or self._watcher.unconfirmed_since == NEVER:
            return -NEVER
        return self._watcher.unconfirmed_since + LONGEST_WAIT_S

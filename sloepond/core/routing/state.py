"""What the routing components of one node share."""

from __future__ import annotations

from sloepond.core.configuration.store import ConfigurationStore
from sloepond.core.context import NodeContext
from sloepond.core.health.monitor import HealthMonitor
from sloepond.core.membership.membership import Membership
from sloepond.core.messages import Member, View
from sloepond.core.routing.completeness import NOT_COMPLETE
from sloepond.core.routing.flow_table import FlowTable
from sloepond.core.routing.local_load import LocalBackendLoad
from sloepond.core.routing.ring import Ring
from sloepond.core.settings import NodeSettings
from sloepond.core.timers import TimerQueue


class RoutingState:
    """Shared by router, opener, replicator, lookup, search and transfer.

    :ivar ring: ring of the present view.
    :ivar former_rings: rings of previous views, newest first.
    :ivar complete_epochs: for each partition, the epoch at which this balancer
        held all that former epochs recorded; 0 for never.
    :ivar local_load: work this balancer itself has at back ends.
    """

    __slots__ = (
        "complete_epochs",
        "configuration",
        "context",
        "former_rings",
        "health",
        "local_load",
        "membership",
        "ring",
        "settings",
        "table",
        "timers",
    )

    def __init__(
        self,
        context: NodeContext,
        settings: NodeSettings,
        membership: Membership,
        configuration: ConfigurationStore,
        health: HealthMonitor,
        local_load: LocalBackendLoad,
    ) -> None:
        self.context = context
        self.settings = settings
        self.membership = membership
        self.configuration = configuration
        self.health = health
        self.timers = TimerQueue()
        self.local_load = local_load
        self.complete_epochs = [NOT_COMPLETE] * settings.routing.partitions
        self.table = FlowTable(settings.routing.partitions, local_load)
        self.ring = self._ring_of(membership.view)
        self.former_rings: tuple[Ring, ...] = ()

    def _ring_of(self, view: View) -> Ring:
        return Ring(view, self.settings.routing.partitions, self.settings.routing.replicas)

    def update_rings(self) -> None:
        """Recompute the rings after a change of view; known ones are reused."""
        known = {ring.epoch: ring for ring in (self.ring, *self.former_rings)}
        view = self.membership.view
        self.ring = self._ring_of(view)
        self.former_rings = tuple(
            known.get(former.epoch) or self._ring_of(former)
            for former in self.membership.previous_views
            if former.epoch > 0
        )

    @property
    def own_name(self) -> str:
        """Name of this balancer."""
        return self.context.identity.name

    def ring_members(self) -> tuple[Member, ...]:
        """Return the members of the present view."""
        return self.membership.view.members

    def acting_primary(self, partition: int) -> Member | None:
        """Return the first reachable replica of a partition, if any."""
        replicas = self.ring.replicas_of(partition)
        if replicas and replicas[0].name == self.own_name:
            return replicas[0]
        for member in replicas:
            if self.membership.is_reachable(member.name):
                return member
        return None

    def is_first_replica(self, partition: int) -> bool:
        """Return whether this balancer is the preferred primary of a partition."""
        replicas = self.ring.replicas_of(partition)
        return bool(replicas) and replicas[0].name == self.own_name

    def is_complete(self, partition: int) -> bool:
        """Return whether all that former epochs recorded of a partition is held here."""
        return self.complete_epochs[partition] == self.ring.epoch

    def is_replica(self, partition: int) -> bool:
        """Return whether this balancer is a replica of a partition."""
        return self.ring.holds(self.own_name, partition)

    def other_replicas(self, partition: int) -> tuple[Member, ...]:
        """Return the replicas of a partition other than this balancer."""
        own_name = self.own_name
        return tuple(member for member in self.ring.replicas_of(partition) if member.name != own_name)

    def quiet_from(self) -> float:
        """Return when no first copy of a request used before this view can still come.

        :returns: seconds of the node's clock: the leases of the former view and
            the lifetime of a datagram have passed.
        """
        return self.membership.settled_at + self.settings.requests.datagram_lifetime_s

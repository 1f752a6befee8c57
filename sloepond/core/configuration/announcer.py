"""Tells other balancers which generation is in force here.

Whoever brings a generation into a cell tells all its members; every member tells
a few balancers of other cells.  Heartbeats tell the rest of the cell, and a slow
exchange with balancers of other cells mends what was lost.
"""

from __future__ import annotations

from sloepond.core.configuration.sources import DIGEST_PREFIX
from sloepond.core.context import NEVER, NodeContext
from sloepond.core.membership_reader import MembershipReader
from sloepond.core.messages import ConfigurationOffered, Member
from sloepond.core.token_bucket import TokenBucket
from sloepond.resources.compiled import EMPTY_CONFIGURATION, CompiledConfiguration

FOREIGN_OFFERS = 3
"""Balancers of other cells told of each new generation."""
OFFER_INTERVAL_S = 1.0
"""Least time between two rounds of offers."""
EXCHANGE_INTERVAL_S = 4.0
"""Time between offers to a balancer of another cell while nothing changes."""
ANSWERS_PER_S = 5.0
"""Offers sent in answer to others' older ones."""
_JITTER = 0.25


class ConfigurationAnnouncer:
    """Sends offers of the generation in force, at a bounded rate."""

    def __init__(self, context: NodeContext, view: MembershipReader) -> None:
        self._context = context
        self._view = view
        self._in_force = EMPTY_CONFIGURATION
        self._machines: tuple[Member, ...] = ()
        self._cell_pending = False
        self._round_at = -NEVER
        self._round_due = NEVER
        self._exchange_due: float | None = None
        self._answers = TokenBucket(ANSWERS_PER_S, ANSWERS_PER_S)

    def machines_known(self, members: tuple[Member, ...]) -> None:
        """Take the platform's list of machines, of all cells; a hint."""
        self._machines = members

    def generation_taken(self, in_force: CompiledConfiguration, source_address: str | None) -> None:
        """Offer a generation just put in force.

        :param source_address: the balancer it came from, None for the platform.
        """
        self._in_force = in_force
        cell = {member.address for member in self._view.view.members}
        self._cell_pending = self._cell_pending or source_address not in cell
        due = max(self._context.now, self._round_at + OFFER_INTERVAL_S)
        self._round_due = min(self._round_due, due)
        self._offer_if_due()

    def _offer_if_due(self) -> None:
        now = self._context.now
        if now < self._round_due:
            return
        self._round_at = now
        self._round_due = NEVER
        if self._cell_pending:
            self._offer_to_cell()
        self._offer_to_foreign(FOREIGN_OFFERS)

    def _offer_to_cell(self) -> None:
        self._cell_pending = False
        own_name = self._context.identity.name
        for member in self._view.view.members:
            if member.name != own_name and self._view.is_reachable(member.name):
                self._offer(member.address)

    def _offer_to_foreign(self, count: int) -> None:
        known = {member.name for member in self._view.view.members}
        known.add(self._context.identity.name)
        foreign = [member for member in self._machines if member.name not in known]
        for member in self._context.random.sample(foreign, min(count, len(foreign))):
            self._offer(member.address)

    def _offer(self, address: str) -> None:
        digest = self._in_force.digest[:DIGEST_PREFIX]
        self._context.send_to_peer(address, ConfigurationOffered(self._in_force.generation, digest))

    def older_offer_received(self, address: str) -> None:
        """Answer a balancer that offers less than what is in force here."""
        if self._in_force.generation > 0 and self._answers.take(self._context.now, 1.0):
            self._offer(address)

    def next_deadline(self) -> float:
        """Return when offers are to be sent next; at once at first."""
        if self._exchange_due is None:
            return self._context.now
        return min(self._round_due, self._exchange_due)

    def on_time(self) -> None:
        """Send the offers that are due."""
        self._offer_if_due()
        now = self._context.now
        if self._exchange_due is not None and now < self._exchange_due:
            return
        interval_s = EXCHANGE_INTERVAL_S if self._in_force.generation else OFFER_INTERVAL_S
        self._exchange_due = now + interval_s * (1.0 + _JITTER * self._context.random.random())
        self._offer_to_foreign(1 if self._in_force.generation else FOREIGN_OFFERS)

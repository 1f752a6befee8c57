"""Announces to other balancers which generation is in force here.

Each balancer that puts a generation in force offers it to a few others of the platform's list of machines,
chosen at random.  In addition, each balancer regularly sends an offer to one random other, which reaches
those that have received none.

Owns the list of machines and the times of offers.  Relies on `ConfigurationStore` for the
generation in force.
"""

from __future__ import annotations

from sloepond.core.configuration.sources import DIGEST_PREFIX
from sloepond.core.context import NEVER, NodeContext
from sloepond.core.messages import ConfigurationOffered, Member
from sloepond.core.token_bucket import TokenBucket
from sloepond.resources.compiled import EMPTY_CONFIGURATION, CompiledConfiguration

OFFERS_PER_ROUND = 3
"""Balancers that are sent an offer of each new generation, and of generation 0 until one is in force."""
OFFER_INTERVAL_S = 1.0
"""Minimum time between two rounds of offers, seconds."""
EXCHANGE_INTERVAL_S = 4.0
"""Time between the regular offers to one random balancer, seconds."""
ANSWERS_PER_S = 5.0
"""Maximum offers per second in answer to offers of older generations, so that many balancers that start at
the same time cannot make one balancer send without bound."""
_JITTER = 0.25
"""Share by which the time to the next regular offer is lengthened at random, so that balancers do not send at
the same time."""


class ConfigurationAnnouncer:
    """Sends offers of the generation in force, at a bounded rate."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._in_force = EMPTY_CONFIGURATION
        self._machines: tuple[Member, ...] = ()
        self._round_at = -NEVER
        self._round_due_at = NEVER
        self._exchange_due_at: float | None = None
        self._answers = TokenBucket(ANSWERS_PER_S, ANSWERS_PER_S)

    def machine_list_received(self, members: tuple[Member, ...]) -> None:
        """Store the platform's list of machines, which may be out of date."""
        self._machines = members

    def generation_applied(self, in_force: CompiledConfiguration) -> None:
        """Offer a generation that was just put in force."""
        self._in_force = in_force
        due = max(self._context.now, self._round_at + OFFER_INTERVAL_S)
        self._round_due_at = min(self._round_due_at, due)
        self._offer_if_due()

    def _offer_if_due(self) -> None:
        now = self._context.now
        if now < self._round_due_at:
            return
        self._round_at = now
        self._round_due_at = NEVER
        self._offer_to_some(OFFERS_PER_ROUND)

    def _offer_to_some(self, count: int) -> None:
        own_name = self._context.identity.name
        others = [member for member in self._machines if member.name != own_name]
        for member in self._context.random.sample(others, min(count, len(others))):
            self._offer(member.address)

    def _offer(self, address: str) -> None:
        digest = self._in_force.digest[:DIGEST_PREFIX]
        self._context.send_to_peer(address, ConfigurationOffered(self._in_force.generation, digest))

    def older_offer_received(self, address: str) -> None:
        """Answer a balancer that offers an older generation than the one in force here."""
        if self._in_force.generation > 0 and self._answers.take(self._context.now, 1.0):
            self._offer(address)

    def next_deadline(self) -> float:
        """Return when to send offers next; immediately at first."""
        if self._exchange_due_at is None:
            return self._context.now
        return min(self._round_due_at, self._exchange_due_at)

    def on_timer(self) -> None:
        """Send the offers that are due."""
        self._offer_if_due()
        now = self._context.now
        if self._exchange_due_at is not None and now < self._exchange_due_at:
            return
        interval_s = EXCHANGE_INTERVAL_S if self._in_force.generation else OFFER_INTERVAL_S
        self._exchange_due_at = now + interval_s * (1.0 + _JITTER * self._context.random.random())
        self._offer_to_some(1 if self._in_force.generation else OFFERS_PER_ROUND)

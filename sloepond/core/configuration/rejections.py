"""Rejected versions of the configuration, each reported once.

Owns a bounded list of rejected versions.
"""

from __future__ import annotations

from collections import OrderedDict

from sloepond.core.commands import TransitionKind
from sloepond.core.configuration.sources import DIGEST_PREFIX
from sloepond.core.context import NodeContext

MAXIMUM_REMEMBERED = 64
"""Maximum number of rejected versions remembered."""


class Rejections:
    """Remembers rejected versions, so that each is reported and fetched only once."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._known: OrderedDict[tuple[int, str], None] = OrderedDict()

    def includes(self, generation: int, digest: str) -> bool:
        """Return whether a version was rejected.

        :param digest: the digest, or its first digits.
        """
        return (generation, digest[:DIGEST_PREFIX]) in self._known

    def add(self, generation: int, digest: str, reason: str) -> None:
        """Remember a rejected version; count and report it only the first time."""
        version = (generation, digest[:DIGEST_PREFIX])
        if version in self._known:
            return
        self._known[version] = None
        if len(self._known) > MAXIMUM_REMEMBERED:
            self._known.popitem(last=False)
        self._context.counters.configuration_rejected += 1
        self._context.record_transition(
            TransitionKind.CONFIGURATION_REJECTED, f"generation {generation}", reason
        )

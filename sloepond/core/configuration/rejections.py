"""Versions of the configuration that were rejected, each reported once.

Owns which versions were rejected, a bounded number of them.
"""

from __future__ import annotations

from collections import OrderedDict

from sloepond.core.commands import TransitionKind
from sloepond.core.configuration.sources import DIGEST_PREFIX
from sloepond.core.context import NodeContext

REMEMBERED = 64
"""Rejected versions remembered."""


class Rejections:
    """Remembers rejected versions, so that each is reported and fetched once."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._known: OrderedDict[tuple[int, str], None] = OrderedDict()

    def includes(self, generation: int, digest: str) -> bool:
        """Return whether a version was rejected.

        :param digest: the digest, or its first digits.
        """
        return (generation, digest[:DIGEST_PREFIX]) in self._known

    def add(self, generation: int, digest: str, reason: str) -> None:
        """Remember a rejected version; count and report it the first time."""
        version = (generation, digest[:DIGEST_PREFIX])
        if version in self._known:
            return
        self._known[version] = None
        if len(self._known) > REMEMBERED:
            self._known.popitem(last=False)
        self._context.counters.configuration_rejected += 1
        self._context.record_transition(
            TransitionKind.CONFIGURATION_REJECTED, f"generation {generation}", reason
        )

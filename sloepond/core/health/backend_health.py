"""Evidence about one back end: reported load, claims, and answers to packets.

Evidence from packets ("in band") outranks what a back end claims of itself.
"""

from __future__ import annotations

import dataclasses

from sloepond.core.deadlines import NEVER

CLAIMS_LIMIT = 3
"""Probes in a row, unhealthy or unanswered, that count as failing."""
ANSWER_TRUST_S = 3.0
"""Seconds an answer to a packet outranks a claim to be unhealthy."""
FAILURE_SPAN_S = 0.3
"""Seconds failures in a row must last, so that one short stall does not count."""


@dataclasses.dataclass(slots=True)
class BackendHealth:
    """Evidence about one back end; times are seconds of the node's clock.

    :ivar in_flight: average of recent reports, without this balancer's own.
    :ivar flows: latest report, without this balancer's own.
    :ivar reported_in_flight: latest report as it came.
    :ivar reported_flows: latest report as it came.
    :ivar observed_at: when the latest report was true.
    :ivar reported_in_band_at: when the latest report came with an answer.
    :ivar claims_failed: unhealthy or unanswered probes in a row.
    :ivar failures: weight of packets in a row that were refused or not answered.
    :ivar ejected_until: end of the ejection; None while not ejected.
    :ivar ejections: ejections of late; each doubles the next one.
    """

    name: str
    in_flight: float = 0.0
    flows: float = 0.0
    reported_in_flight: int = 0
    reported_flows: int = 0
    observed_at: float = -NEVER
    reported_in_band_at: float = -NEVER
    claimed_healthy: bool = True
    claimed_at: float = -NEVER
    claims_failed: int = 0
    failures: float = 0.0
    failing_since: float = 0.0
    answered_at: float = -NEVER
    ejected_at: float = 0.0
    ejected_until: float | None = None
    ejected_by_claims: bool = False
    ejections: int = 0
    restored_at: float = -NEVER

    def record_answer(self, now: float) -> None:
        """Note that the back end answered a packet."""
        self.answered_at = now
        self.failures = 0.0

    def record_failure(self, now: float, weight: float) -> None:
        """Note that the back end refused a packet or was silent.

        :param weight: 1 for a silence, less for weaker evidence.
        """
        if not self.failures:
            self.failing_since = now
        self.failures += weight

    def record_claim(self, at: float, healthy: bool) -> None:
        """Note the result of a probe, unless a later one is known."""
        if at < self.claimed_at:
            return
        self.claimed_at = at
        self.claimed_healthy = healthy
        self.claims_failed = 0 if healthy else self.claims_failed + 1

    def fails_in_band(self, now: float, limit: float) -> bool:
        """Return whether enough packets in a row failed, over long enough a time."""
        return self.failures >= limit and now - self.failing_since >= FAILURE_SPAN_S

    def fails_by_claims(self, now: float) -> bool:
        """Return whether probes fail and no recent answer says otherwise."""
        return self.claims_failed >= CLAIMS_LIMIT and now - self.answered_at > ANSWER_TRUST_S

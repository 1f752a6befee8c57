"""The lease of a member: proof that no later view was decided a short while ago.

A peer that echoes a stamp in epoch E had not accepted a proposal for the view
after E when it did so, hence not before the stamp was sent.  Any quorum that
decides the next view shares a member with a quorum that echoed; the decision is
therefore later than the oldest of the echoed stamps, and a lease that ends
`lease_s` after that stamp ends at most `lease_s` after the decision.  Stamps are
of the holder's own clock; no two clocks are compared.
"""

from __future__ import annotations

import dataclasses

from sloepond.core.membership.heartbeats import MILLISECONDS
from sloepond.core.messages import View

_EXPIRED = float("-inf")


@dataclasses.dataclass(slots=True)
class _Echo:
    """Newest own stamp, in seconds, that a peer echoed in its latest epoch."""

    incarnation: int
    epoch: int
    stamp: float


class Lease:
    """Keeps the newest echo of each peer and the time the lease ends.

    :ivar expires_at: local time in seconds; minus infinity without a quorum and
        infinity where this member alone is a quorum.
    """

    def __init__(self) -> None:
        self._lease_s = 0.0
        self._echoes: dict[str, _Echo] = {}
        self._void_before = _EXPIRED
        self._view = View(epoch=0, members=())
        self._self_name = ""
        self._self_incarnation = 0
        self._self_support = float("inf")
        self.expires_at = _EXPIRED

    def view_changed(self, view: View, name: str, incarnation: int, lease_s: float) -> None:
        """Judge echoes by `view`, as the member `name` with `incarnation`.

        :param lease_s: length of the lease in this view, seconds.
        """
        self._view = view
        self._lease_s = lease_s
        self._self_name = name
        self._self_incarnation = incarnation
        self._self_support = float("inf")
        known = {member.name for member in view.members}
        self._echoes = {peer: echo for peer, echo in self._echoes.items() if peer in known}
        self._compute()

    def echoed(self, name: str, incarnation: int, epoch: int, echo_ms: int) -> None:
        """Take in a stamp of this member that a peer echoed in `epoch`."""
        stamp = echo_ms / MILLISECONDS
        echo = self._echoes.get(name)
        if echo is None or (incarnation, epoch) > (echo.incarnation, echo.epoch):
            self._echoes[name] = _Echo(incarnation, epoch, stamp)
        elif (incarnation, epoch) == (echo.incarnation, echo.epoch) and stamp > echo.stamp:
            echo.stamp = stamp
        self._compute()

    def own_support_ended(self, now: float) -> None:
        """Stop counting this member's own support: it accepted the next view."""
        self._self_support = min(self._self_support, now)
        self._compute()

    def make_void(self, now: float) -> None:
        """Ignore every stamp sent before `now`."""
        self._void_before = now
        self._compute()

    def _compute(self) -> None:
        stamps = [self._stamp_of(member.name, member.incarnation) for member in self._view.members]
        is_member = any(
            member.name == self._self_name and member.incarnation == self._self_incarnation
            for member in self._view.members
        )
        if not is_member:
            self.expires_at = _EXPIRED
            return
        stamps.sort(reverse=True)
        quorum = len(stamps) // 2 + 1
        self.expires_at = stamps[quorum - 1] + self._lease_s

    def _stamp_of(self, name: str, incarnation: int) -> float:
        if name == self._self_name:
            return self._self_support if incarnation == self._self_incarnation else _EXPIRED
        echo = self._echoes.get(name)
        if echo is None or echo.incarnation != incarnation or echo.epoch != self._view.epoch:
            return _EXPIRED
        return echo.stamp if echo.stamp >= self._void_before else _EXPIRED

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
        self._is_member = False
        self._self_support = float("inf")
        self.expires_at = _EXPIRED

    def view_changed(self, view: View, name: str, is_member: bool, lease_s: float) -> None:
        """Judge echoes by `view`.

        :param name: this balancer's name.
        :param is_member: whether this incarnation of it is in the view.
        :param lease_s: length of the lease in this view, seconds.
        """
        self._view = view
        self._lease_s = lease_s
        self._self_name = name
        self._is_member = is_member
        self._self_support = float("inf")
        known = {member.name for member in view.members}
        self._echoes = {peer: echo for peer, echo in self._echoes.items() if peer in known}
        self._compute()

    def echoed(self, name: str, epoch: int, echo_ms: int) -> None:
        """Take in a stamp of this member that a peer of the view echoed in `epoch`."""
        stamp = echo_ms / MILLISECONDS
        echo = self._echoes.get(name)
        if echo is None or epoch > echo.epoch:
            self._echoes[name] = _Echo(epoch, stamp)
        elif epoch == echo.epoch and stamp > echo.stamp:
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
        if not self._is_member:
            self.expires_at = _EXPIRED
            return
        stamps = [self._stamp_of(member.name) for member in self._view.members]
        stamps.sort(reverse=True)
        quorum = len(stamps) // 2 + 1
        self.expires_at = stamps[quorum - 1] + self._lease_s

    def _stamp_of(self, name: str) -> float:
        if name == self._self_name:
            return self._self_support
        echo = self._echoes.get(name)
        if echo is None or echo.epoch != self._view.epoch:
            return _EXPIRED
        return echo.stamp if echo.stamp >= self._void_before else _EXPIRED

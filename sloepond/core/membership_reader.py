"""What components other than membership need to know of the cell."""

from __future__ import annotations

from typing import Protocol

from sloepond.core.messages import Member, View


class MembershipReader(Protocol):
    """Read-only side of `Membership`."""

    @property
    def view(self) -> View:
        """The present view; epoch 0 without members before the cell has formed."""

    def is_reachable(self, name: str) -> bool:
        """Return whether the member is not suspected; this balancer always is reachable."""

    def member(self, name: str) -> Member | None:
        """Return a member of the view or of a recent previous view."""

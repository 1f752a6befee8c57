"""Where this balancer stands in its cell; shared by the parts of membership."""

from __future__ import annotations

import dataclasses

from sloepond.core.membership.pacing import HeartbeatPace
from sloepond.core.messages import Member, MemberState, View


@dataclasses.dataclass(slots=True)
class CellState:
    """The view and this balancer's place in it.

    :ivar pace: times of the failure detector in this view.
    :ivar view: the latest view known; epoch 0 before the cell forms.
    :ivar previous_views: newest first.
    :ivar is_member: whether this incarnation is in the view.
    :ivar accepted_view: the proposal for the next view accepted last, if any;
        from then on no lease of the present view is supported.
    :ivar view_changed_at: local time the view was learnt, seconds.
    """

    pace: HeartbeatPace
    state: MemberState = MemberState.JOINING
    view: View = View(epoch=0, members=())
    previous_views: tuple[View, ...] = ()
    is_member: bool = False
    accepted_view: View | None = None
    view_changed_at: float = 0.0

    def member(self, name: str) -> Member | None:
        """Return a member of the view, or else of the newest previous view with it."""
        for view in (self.view, *self.previous_views):
            for member in view.members:
                if member.name == name:
                    return member
        return None

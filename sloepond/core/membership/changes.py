"""What the next view should be: evictions, departures and admissions in one."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from sloepond.core.membership.agreement import PlannedView
from sloepond.core.membership.pacing import MAXIMUM_MEMBERS
from sloepond.core.messages import Member, View


class CellChanges(msgspec.Struct, frozen=True):
    """What has been noticed since the view was agreed.

    :ivar silent: members to evict for their silence.
    :ivar leaving: members that announced they are leaving.
    :ivar candidates: processes that ask for admission and were heard.
    """

    silent: frozenset[str]
    leaving: frozenset[str]
    candidates: tuple[Member, ...]


def admissible(
    candidates: Iterable[Member], view: View, previous_views: Iterable[View]
) -> tuple[Member, ...]:
    """Return the candidates that may become members of the view after `view`.

    An incarnation that was a member before does not return under the same number:
    its request may be an old one that the network held.
    """
    former = {(member.name, member.incarnation) for old in previous_views for member in old.members}
    present = {member.name: member.incarnation for member in view.members}
    admitted = []
    for candidate in candidates:
        if (candidate.name, candidate.incarnation) in former:
            continue
        if candidate.incarnation > present.get(candidate.name, -1):
            admitted.append(candidate)
    return tuple(admitted)


def is_well_formed(view: View) -> bool:
    """Return whether a view has members, sorted by name, each name once."""
    names = [member.name for member in view.members]
    return bool(names) and names == sorted(set(names))


def plan_next_view(view: View, changes: CellChanges) -> PlannedView | None:
    """Return the view to propose after `view`, or None if nothing is to change.

    Where all members leave, one of them stays to the last.
    """
    replaced = {candidate.name for candidate in changes.candidates}
    dropped = changes.silent | changes.leaving | replaced
    members = {member.name: member for member in view.members if member.name not in dropped}
    for candidate in changes.candidates:
        if len(members) < MAXIMUM_MEMBERS:
            members[candidate.name] = candidate
    if not members:
        members = _last_member(view, changes)
    ordered = tuple(members[name] for name in sorted(members))
    if not ordered or ordered == view.members:
        return None
    present = {member.name for member in view.members}
    evicted = (changes.silent & present) - changes.leaving - replaced
    return PlannedView(View(epoch=view.epoch + 1, members=ordered), tuple(sorted(evicted)))


def _last_member(view: View, changes: CellChanges) -> dict[str, Member]:
    """Return the first member that is leaving but not silent, by its name."""
    remaining = [member for member in view.members if member.name not in changes.silent]
    return {member.name: member for member in remaining[:1]}

"""What changes from one view to the next, so that proposals stay small."""

from __future__ import annotations

from sloepond.core.messages import Member, View, ViewChange


def view_change(base: View, view: View) -> ViewChange:
    """Return what leads from `base` to `view`.

    A member that returned with a new incarnation is removed and added.
    """
    known = set(base.members)
    kept = set(view.members)
    removed = tuple(member.name for member in base.members if member not in kept)
    added = tuple(member for member in view.members if member not in known)
    return ViewChange(view.epoch, removed, added)


def view_after(base: View, change: ViewChange) -> View:
    """Return the view that `change` makes of `base`; the inverse of `view_change`."""
    removed = set(change.removed)
    members = [member for member in base.members if member.name not in removed]
    members.extend(change.added)
    return View(change.epoch, tuple(sorted(members, key=_name)))


def _name(member: Member) -> str:
    return member.name

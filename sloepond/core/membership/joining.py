"""Joining a cell: asking to be admitted, and keeping note of who asks."""

from __future__ import annotations

import msgspec

from sloepond.core.context import NEVER, NodeContext
from sloepond.core.messages import JoinRequest, Member, View
from sloepond.core.settings import MembershipSettings

RETRY_FIRST_S = 0.25
"""Wait after the first request; grows by half each time."""

RETRY_MAXIMUM_S = 1.0
"""Longest wait between requests."""

RETRY_GROWTH = 1.5

CANDIDATE_HEARD_S = 2.5
"""Time a request counts as proof that the candidate is alive."""

MAXIMUM_TARGETS = 16
"""Most addresses asked in one round."""

MAXIMUM_CANDIDATES = 64
"""Most candidates kept."""


class Joiner:
    """Asks for admission, with retry and back-off, until it is stopped."""

    def __init__(self, context: NodeContext, settings: MembershipSettings) -> None:
        self._context = context
        self._settings = settings
        self._hints: tuple[str, ...] = ()
        self._due = NEVER
        self._wait_s = RETRY_FIRST_S
        self.started_at = NEVER

    def start(self) -> None:
        """Begin to ask, at once."""
        self._wait_s = RETRY_FIRST_S
        self._due = self._context.now
        self.started_at = self._context.now

    def ask_now(self) -> None:
        """Ask at once, since more is known of whom to ask."""
        self._due = self._context.now

    def stop(self) -> None:
        """Stop asking."""
        self._due = NEVER

    def hints_read(self, members: tuple[Member, ...]) -> None:
        """Replace the addresses hinted at by the platform's machine list."""
        self._hints = tuple(member.address for member in members)

    def next_deadline(self) -> float:
        """Return when the next request is due."""
        return self._due

    def on_time(self, view: View, candidates: tuple[Member, ...]) -> None:
        """Send requests if they are due.

        :param view: the latest view known, asked first.
        :param candidates: others that wait for the cell to form.
        """
        if self._context.now < self._due:
            return
        request = JoinRequest(self._context.identity, self._settings.cell, view.epoch)
        for address in self._targets(view, candidates):
            self._context.send_to_peer(address, request)
        self._due = self._context.now + self._wait_s * self._context.random.uniform(0.8, 1.2)
        self._wait_s = min(RETRY_MAXIMUM_S, self._wait_s * RETRY_GROWTH)

    def _targets(self, view: View, candidates: tuple[Member, ...]) -> list[str]:
        """Return members, seeds and candidates, filled up with some of the hints."""
        known = [member.address for member in view.members]
        known.extend(self._settings.seeds)
        known.extend(member.address for member in candidates)
        hints = list(self._hints)
        self._context.random.shuffle(hints)
        unique = dict.fromkeys(known + hints)
        unique.pop(self._context.identity.address, None)
        return list(unique)[:MAXIMUM_TARGETS]


class _Candidate(msgspec.Struct, frozen=True):
    """A process that asked for admission.

    :ivar heard_at: local time of its last request.
    :ivar epoch: epoch of the view it knew, 0 for none.
    """

    member: Member
    heard_at: float
    epoch: int


class Candidates:
    """Processes that asked for admission a short while ago, by name."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._by_name: dict[str, _Candidate] = {}

    def heard(self, request: JoinRequest) -> None:
        """Note a request; the largest incarnation of a name counts."""
        member = request.member
        known = self._by_name.get(member.name)
        if known is not None and self._is_alive(known) and known.member.incarnation > member.incarnation:
            return
        if known is None and len(self._by_name) >= MAXIMUM_CANDIDATES:
            self._forget_silent()
        if known is None and len(self._by_name) >= MAXIMUM_CANDIDATES:
            self._context.counters.input_oversized += 1
            return
        self._by_name[member.name] = _Candidate(member, self._context.now, request.epoch)

    def view_changed(self, view: View) -> None:
        """Forget candidates that were admitted."""
        for member in view.members:
            candidate = self._by_name.get(member.name)
            if candidate is not None and candidate.member.incarnation <= member.incarnation:
                del self._by_name[member.name]

    def knowing(self, epoch: int) -> tuple[Member, ...]:
        """Return candidates heard a short while ago, sorted by name.

        :param epoch: only those that know this view, so that a process which is
            heard but hears nobody is not admitted; 0 for those that know none.
        """
        candidates = [self._by_name[name] for name in sorted(self._by_name)]
        return tuple(
            candidate.member
            for candidate in candidates
            if candidate.epoch == epoch and self._is_alive(candidate)
        )

    def _is_alive(self, candidate: _Candidate) -> bool:
        return self._context.now < candidate.heard_at + CANDIDATE_HEARD_S

    def _forget_silent(self) -> None:
        self._by_name = {
            name: candidate for name, candidate in self._by_name.items() if self._is_alive(candidate)
        }

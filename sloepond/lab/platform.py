"""The platform: a configuration service and a delayed list of machines.

Owns the published generations and the changes of machines.  Relies on its users to pass the time.
"""

from __future__ import annotations

import collections

import msgspec

from sloepond.core.messages import Member
from sloepond.resources.model import ConfigurationSnapshot


class _MachineChange(msgspec.Struct, frozen=True):
    at: float
    name: str
    member: Member | None


class Platform:
    """State of the platform, from which its answers follow.

    :ivar down: whether reads of the configuration fail.
    :ivar stale_generations: by how many generations the answer is older than the latest one.
    """

    def __init__(self, machine_list_lag_s: float) -> None:
        self._lag_s = machine_list_lag_s
        self._snapshots: list[ConfigurationSnapshot] = []
        self._changes: collections.deque[_MachineChange] = collections.deque()
        self._machines: dict[str, Member] = {}
        self.down = False
        self.stale_generations = 0

    def publish(self, snapshot: ConfigurationSnapshot) -> None:
        """Publish a new generation."""
        self._snapshots.append(snapshot)

    def read(self) -> ConfigurationSnapshot | None:
        """Return the configuration; None if the read fails."""
        if self.down:
            return None
        index = max(0, len(self._snapshots) - 1 - self.stale_generations)
        return self._snapshots[index]

    def machine_changed(self, now: float, name: str, member: Member | None) -> None:
        """Record that a process on a machine started, or ended if `member` is None."""
        self._changes.append(_MachineChange(now, name, member))

    def machines(self, now: float) -> tuple[Member, ...]:
        """Return the list of machines as of `machine_list_lag_s` before `now`, sorted by name."""
        while self._changes and self._changes[0].at <= now - self._lag_s:
            change = self._changes.popleft()
            if change.member is None:
                self._machines.pop(change.name, None)
            else:
                self._machines[change.name] = change.member
        return tuple(self._machines[name] for name in sorted(self._machines))

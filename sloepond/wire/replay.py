"""Which sequence numbers of each peer were seen, in bounded memory.

Owns a window of sequence numbers for each sender; relies on the envelope to be authentic.
"""

from __future__ import annotations

import collections

from sloepond.wire.failures import INCARNATION_OLD, REPLAYED, AuthenticationFailure

WINDOW_BITS = 1_024
"""How far behind the newest sequence number a datagram may arrive."""

MAXIMUM_SENDERS = 4_096
"""Senders remembered; the one not heard for longest is forgotten first.

Only holders of a key get an entry, so the limit bounds memory against
mistakes and very large fleets, not against strangers.
"""

_WINDOW_MASK = (1 << WINDOW_BITS) - 1


class ReplayWindow:
    """Sequence numbers seen of one incarnation of one sender.

    Bit i of the bitmap is set if `highest - i` was seen.
    """

    __slots__ = ("_bitmap", "_highest", "incarnation")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._highest = -1
        self._bitmap = 0

    def accept(self, sequence: int) -> bool:
        """Mark `sequence` as seen; return whether it was new."""
        ahead = sequence - self._highest
        if ahead > 0:
            self._advance(ahead)
            return True
        behind = -ahead
        if behind >= WINDOW_BITS or self._bitmap >> behind & 1:
            return False
        self._bitmap |= 1 << behind
        return True

    def _advance(self, steps: int) -> None:
        self._highest += steps
        if steps >= WINDOW_BITS:
            self._bitmap = 1
        else:
            self._bitmap = (self._bitmap << steps | 1) & _WINDOW_MASK


class ReplayGuard:
    """The replay windows of all senders."""

    def __init__(self, maximum_senders: int = MAXIMUM_SENDERS) -> None:
        self._maximum_senders = maximum_senders
        self._windows: collections.OrderedDict[str, ReplayWindow] = collections.OrderedDict()

    def check(self, sender: str, incarnation: int, sequence: int) -> AuthenticationFailure | None:
        """Mark a datagram as seen.

        :returns: None where it is new, otherwise why it is refused.
        """
        window = self._windows.get(sender)
        if window is None or incarnation > window.incarnation:
            window = self._start_window(sender, incarnation)
        elif incarnation < window.incarnation:
            return INCARNATION_OLD
        self._windows.move_to_end(sender)
        return None if window.accept(sequence) else REPLAYED

    def _start_window(self, sender: str, incarnation: int) -> ReplayWindow:
        window = ReplayWindow(incarnation)
        self._windows[sender] = window
        if len(self._windows) > self._maximum_senders:
            self._windows.popitem(last=False)
        return window

"""Detects replayed datagrams by the sequence numbers of each peer, in bounded memory.

Owns a window of received sequence numbers for each sender.  Relies on the envelope to be authentic.
"""

from __future__ import annotations

import collections

from sloepond.wire.failures import INCARNATION_OLD, REPLAYED, AuthenticationFailure

WINDOW_BITS = 1_024
"""Number of sequence numbers, up to the highest, in which a late datagram is accepted."""

MAXIMUM_SENDERS = 4_096
"""Maximum number of senders with a window; the one whose last datagram is the oldest is removed first.

Only holders of a key get a window, so the limit bounds memory against misconfiguration and very large
fleets rather than against attackers.
"""

_WINDOW_MASK = (1 << WINDOW_BITS) - 1


class ReplayWindow:
    """Received sequence numbers of one incarnation of one sender.

    Bit i of the bitmap is set if `highest - i` was received.
    """

    __slots__ = ("_bitmap", "_highest", "incarnation")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._highest = -1
        self._bitmap = 0

    def accept(self, sequence: int) -> bool:
        """Mark `sequence` as received; return whether it was new."""
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
        """Mark a datagram as received.

        :returns: None if it is new, otherwise why it is refused.
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

"""Whether a balancer is idle, that is, handles only routine events.

An idle balancer wakes only to poll the platform.  That needs no precise timers, so the daemon lets
timers coalesce, since each wake-up of an idle process costs more than its work.
"""

from __future__ import annotations

from sloepond.core.events import (
    ConfigurationReadUnchanged,
    Event,
    MachineListRead,
    TimerFired,
)

ACTIVE_S = 2.0
"""Time after a non-routine event during which timers are precise, in seconds."""

RENEWAL_S = 0.5
"""Time after a non-routine event during which further ones are not checked, in seconds."""

_ROUTINE_EVENTS = frozenset({ConfigurationReadUnchanged, MachineListRead, TimerFired})


def is_routine(event: Event) -> bool:
    """Return whether an idle balancer receives this event too."""
    return type(event) in _ROUTINE_EVENTS

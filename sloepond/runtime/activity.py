"""Whether a balancer is busy with more than its routine.

An idle balancer wakes for polls of the platform only.  These need no
precise timers, so the daemon then lets timers coalesce; each wake of an idle
process costs more than the work it does.
"""

from __future__ import annotations

from sloepond.core.events import (
    ConfigurationReadUnchanged,
    Event,
    MachineListRead,
    TimerFired,
)

ACTIVE_S = 2.0
"""Time after an event that is no routine during which timers are precise, in seconds."""

RENEWAL_S = 0.5
"""Time after such an event in which further ones are not looked at, in seconds."""

_ROUTINE_EVENTS = frozenset({ConfigurationReadUnchanged, MachineListRead, TimerFired})


def is_routine(event: Event) -> bool:
    """Return whether an idle balancer gets this event too."""
    return type(event) in _ROUTINE_EVENTS

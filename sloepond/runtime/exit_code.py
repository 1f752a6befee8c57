"""The exit status of a balancer's process."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit status of `sloepond balancer`."""

    STOPPED = 0
    """The planned stop was completed."""
    FORCED = 1
    """A second signal or the end of the grace period after the stop deadline ended the process."""
    REFUSED = 2
    """The settings were invalid or an address could not be bound."""

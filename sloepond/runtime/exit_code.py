"""How the process ends."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit status of `sloepond balancer`."""

    STOPPED = 0
    """The planned stop was completed."""
    FORCED = 1
    """A second signal, or the grace after the stop deadline, ended the process."""
    REFUSED = 2
    """The settings were refused or an address could not be bound."""

"""Records of back ends, as the store lists them and as peers pass them on.

Owns: the form of a record.  Relies on: nothing.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec


class Endpoint(NamedTuple):
    """Address and port, as sockets take them."""

    host: str
    port: int


class BackendState(enum.IntEnum):
    """State of a back end, as it has reported it or as the list shows."""

    READY = 0
    LEAVING = 1
    DEPARTED = 2
    """No longer listed; its flows are still forwarded to it."""


INCARNATION_SEPARATOR = "#"
"""Between the id of a back end and its start, in the names of those that are started again under their id."""


def incarnation_name(identity: str, born_ms: int) -> str:
    """Return the name of one start of a back end.

    All that is counted, measured or told of a back end goes by this name, so nothing of a former start
    counts for the one that follows under the same id.

    :param identity: its id.
    :param born_ms: Unix time of its start in milliseconds, 0 where it is not known.
    """
    return f"{identity}{INCARNATION_SEPARATOR}{born_ms}" if born_ms else identity


def id_of_incarnation(name: str) -> str:
    """Return the id of the back end of which a name names one start."""
    return name.partition(INCARNATION_SEPARATOR)[0]


class BackendRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One back end as it is listed and as peers pass it on.

    :ivar name: of this start of it, see `incarnation_name`.
    :ivar number: its identity in packets, the same for all starts under one id (64 bits).
    :ivar slots: requests that it works on at once.
    :ivar cold_s: seconds until it is as fast as the others after its start.
    :ivar revision: revision of the list at which this was written.
    """

    name: str
    number: int
    service: str
    host: str
    port: int
    hall: str
    slots: int
    state: BackendState
    cold_s: float = 0.0
    revision: int = 0

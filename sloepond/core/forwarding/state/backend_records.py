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


class BackendRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One back end as it is listed and as peers pass it on.

    :ivar number: identity of this start of it, never used again (64 bits).
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

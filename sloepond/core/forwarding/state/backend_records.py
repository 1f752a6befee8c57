"""Records of back ends, as the store lists them and as peers send them.

Owns: the format of a record.  Relies on: nothing.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec


class Endpoint(NamedTuple):
    """Address and port, in the form that sockets expect."""

    host: str
    port: int


class BackendState(enum.IntEnum):
    """State of a back end, reported by itself or derived from the list."""

    READY = 0
    LEAVING = 1
    DEPARTED = 2
    """No longer listed; its flows are still forwarded to it."""


INCARNATION_SEPARATOR = "#"
"""Separates the id of a back end from its start time in the name of an incarnation."""


def incarnation_name(identity: str, started_at_ms: int) -> str:
    """Return the name of one incarnation of a back end.

    All counts, measurements and messages about a back end use this name, so those of a former incarnation
    do not affect the next one under the same id.

    :param identity: id of the back end.
    :param started_at_ms: Unix time of its start in milliseconds, 0 if unknown.
    """
    return f"{identity}{INCARNATION_SEPARATOR}{started_at_ms}" if started_at_ms else identity


def id_of_incarnation(name: str) -> str:
    """Return the id of the back end from the name of one of its incarnations."""
    return name.partition(INCARNATION_SEPARATOR)[0]


class BackendRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One back end as it is listed and as peers send it.

    :ivar name: name of this incarnation, see `incarnation_name`.
    :ivar number: its identity in packets (64 bits), the same for all incarnations under one id.
    :ivar slots: number of requests that it processes at once.
    :ivar cold_s: seconds until its cold start ends.
    :ivar revision: revision of the list at which this entry was written.
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

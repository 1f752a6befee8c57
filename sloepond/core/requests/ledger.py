"""The at-most-once ledger of one flow: which request ids have been used.

The ledger is a window: the largest id seen and a bitmap of the ids just below
it.  Ids older than the window count as used, so that nothing runs twice however
late a copy comes.  All functions are pure; a ledger is two integers.
"""

from __future__ import annotations

import msgspec

WINDOW = 62
"""Ids the bitmap covers, the largest included; it fits a 64-bit integer."""

_MASK = (1 << WINDOW) - 1


class Ledger(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Used request ids of a flow.

    :ivar highest: largest id used, 0 for none.
    :ivar bitmap: bit i is set if id `highest - i` was used.
    """

    highest: int = 0
    bitmap: int = 0


def is_too_old(ledger: Ledger, request_id: int) -> bool:
    """Return whether an id lies below the window, so that nothing is known of it."""
    return request_id <= ledger.highest - WINDOW


def is_used(ledger: Ledger, request_id: int) -> bool:
    """Return whether an id was used, or is too old to tell."""
    if request_id > ledger.highest:
        return False
    if is_too_old(ledger, request_id):
        return True
    return bool(ledger.bitmap >> (ledger.highest - request_id) & 1)


def mark_used(ledger: Ledger, request_id: int) -> Ledger:
    """Return the ledger with an id marked as used.

    :param request_id: 1 or more; an id below the window changes nothing.
    """
    if request_id > ledger.highest:
        shift = request_id - ledger.highest
        bitmap = 0 if shift >= WINDOW else (ledger.bitmap << shift) & _MASK
        return Ledger(request_id, bitmap | 1)
    if is_too_old(ledger, request_id):
        return ledger
    return Ledger(ledger.highest, ledger.bitmap | 1 << (ledger.highest - request_id))


def merge(first: Ledger, second: Ledger) -> Ledger:
    """Return the union of two ledgers of the same flow."""
    if first.highest < second.highest:
        first, second = second, first
    shift = first.highest - second.highest
    if shift >= WINDOW:
        return first
    return Ledger(first.highest, first.bitmap | (second.bitmap << shift) & _MASK)

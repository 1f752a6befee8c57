"""What the fields of a listed back end may hold, whoever wrote the entry.

Other programs may write to the list.  What they write must not be taken for a back end, nor be too large
for a message between balancers, nor be a host name, whose look-up would block the process.

Owns: the bounds.  Relies on: nothing.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from sloepond.core.forwarding.state.backend_records import INCARNATION_SEPARATOR, Endpoint

MAXIMUM_TEXT_LENGTH = 100
"""Most characters of a service, a hall, an id or a reason.  Not measured: 12 back ends of this size are 6 kB,
within a datagram of 65 kB."""
MAXIMUM_SLOTS = 1_000_000
"""Most requests that a back end works on at once.  Not measured: beyond any, and it fits every message."""
MAXIMUM_SLOW_MS = 86_400_000.0
"""Most milliseconds for which a back end is slow from its start: a day.  Not measured: beyond any."""
MAXIMUM_COUNT = 2**53
"""Largest whole number that JSON carries exactly everywhere."""
NUMBER_BITS = 64
"""Bits of an identity in a packet."""
HEXADECIMAL_DIGITS = frozenset("0123456789abcdefABCDEF")
"""Digits of the number in an id."""
MAXIMUM_PORT = 65_535
"""Largest port."""
MAXIMUM_OCTET = 255
"""Largest part of an IPv4 address."""
IPV4_PARTS = 4
"""Parts of an IPv4 address."""

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAXIMUM_TEXT_LENGTH)]
OptionalText = Annotated[str, msgspec.Meta(max_length=MAXIMUM_TEXT_LENGTH)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_COUNT)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_SLOTS)]
SlowMilliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAXIMUM_SLOW_MS)]


def number_of(identity: str) -> int:
    """Return the hex digits of an id, after its last dash, as a number; of longer ones the last 64 bits.

    :raises ValueError: if there are none, or they are 0, which stands for any back end in a packet.
    """
    digits = "".join(digit for digit in identity.rpartition("-")[2] if digit in HEXADECIMAL_DIGITS)
    number = int(digits or "0", 16) & (1 << NUMBER_BITS) - 1
    if not number:
        raise ValueError(f"the id {identity} has no number")
    return number


def checked_identity(text: str) -> str:
    """Return a text that may be the id of a back end.

    :raises ValueError: if it is empty or too long, or holds a mark with a meaning in keys or names.
    """
    if not 0 < len(text) <= MAXIMUM_TEXT_LENGTH or "/" in text or INCARNATION_SEPARATOR in text:
        raise ValueError(f"{truncated(text)} is no id")
    return text


def endpoint_of(address: str) -> Endpoint:
    """Return the endpoint in `ip:port`.

    :raises ValueError: if it is no IPv4 address in numbers, or has no port.
    """
    host, _, port = address.rpartition(":")
    parts = host.split(".")
    is_host = len(parts) == IPV4_PARTS and all(_is_number(part, MAXIMUM_OCTET) for part in parts)
    if not is_host or not _is_number(port, MAXIMUM_PORT) or not int(port):
        raise ValueError(f"{truncated(address)} is no address and port")
    return Endpoint(host, int(port))


def truncated(text: str) -> str:
    """Return a text as it may stand in a log line, whoever wrote it."""
    return text if len(text) <= MAXIMUM_TEXT_LENGTH else f"{text[:MAXIMUM_TEXT_LENGTH]}..."


def _is_number(text: str, maximum: int) -> bool:
    """Tell whether a text is a decimal number up to a largest one, without a sign or superfluous zeros."""
    is_decimal = text.isascii() and text.isdigit() and len(text) <= len(str(maximum))
    return is_decimal and int(text) <= maximum and str(int(text)) == text

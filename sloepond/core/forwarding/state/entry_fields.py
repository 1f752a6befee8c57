"""Validation of the fields of a listed back end.

Other programs may write to the list.  Their entries must not be accepted as back ends, be too large for a
message between balancers, or contain a host name, whose resolution would block the process.

Owns: the bounds.  Relies on: nothing.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from sloepond.core.forwarding.state.backend_records import INCARNATION_SEPARATOR, Endpoint

MAXIMUM_TEXT_LENGTH = 100
"""Maximum number of characters of a service, a hall, an id or a reason.  12 back ends with texts of this
length take 6 kB, which fits a datagram of 65 kB."""
MAXIMUM_SLOTS = 1_000_000
"""Maximum number of requests that a back end processes at once: more than any does, and it fits every
message."""
MAXIMUM_COLD_MS = 86_400_000.0
"""Maximum duration of a cold start in milliseconds: a day, longer than any."""
MAXIMUM_COUNT = 2**53
"""Largest integer that every JSON implementation represents exactly."""
NUMBER_BITS = 64
"""Size of an identity in a packet, in bits."""
HEXADECIMAL_DIGITS = frozenset("0123456789abcdefABCDEF")
"""Hexadecimal digits that may occur in an id."""
MAXIMUM_PORT = 65_535
"""Largest port."""
MAXIMUM_OCTET = 255
"""Largest value of one part of an IPv4 address."""
IPV4_PARTS = 4
"""Number of parts of an IPv4 address."""

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAXIMUM_TEXT_LENGTH)]
OptionalText = Annotated[str, msgspec.Meta(max_length=MAXIMUM_TEXT_LENGTH)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_COUNT)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_SLOTS)]
ColdMilliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAXIMUM_COLD_MS)]


def identity_number(identity: str) -> int:
    """Return the hexadecimal digits after the last dash of an id as a number, truncated to 64 bits.

    :raises ValueError: if there are none, or the number is 0, which means any back end in a packet.
    """
    digits = "".join(digit for digit in identity.rpartition("-")[2] if digit in HEXADECIMAL_DIGITS)
    number = int(digits or "0", 16) & (1 << NUMBER_BITS) - 1
    if not number:
        raise ValueError(f"the id {identity} has no hexadecimal number above 0")
    return number


def checked_identity(text: str) -> str:
    """Return a text if it is a valid id of a back end.

    :raises ValueError: if it is empty or too long, or contains a separator of keys or names.
    """
    if not 0 < len(text) <= MAXIMUM_TEXT_LENGTH or "/" in text or INCARNATION_SEPARATOR in text:
        raise ValueError(f"{truncated(text)} is not a valid id")
    return text


def endpoint_of(address: str) -> Endpoint:
    """Parse an endpoint of the form `ip:port`.

    :raises ValueError: if the host is not a numeric IPv4 address, or there is no valid port.
    """
    host, _, port = address.rpartition(":")
    parts = host.split(".")
    is_host = len(parts) == IPV4_PARTS and all(_is_number(part, MAXIMUM_OCTET) for part in parts)
    if not is_host or not _is_number(port, MAXIMUM_PORT) or not int(port):
        raise ValueError(f"{truncated(address)} is not a numeric IPv4 address and port")
    return Endpoint(host, int(port))


def truncated(text: str) -> str:
    """Return a text from another program, truncated for a log line."""
    return text if len(text) <= MAXIMUM_TEXT_LENGTH else f"{text[:MAXIMUM_TEXT_LENGTH]}..."


def _is_number(text: str, maximum: int) -> bool:
    """Return whether a text is a decimal number from 0 to a maximum, without a sign or leading zeros."""
    is_decimal = text.isascii() and text.isdigit() and len(text) <= len(str(maximum))
    return is_decimal and int(text) <= maximum and str(int(text)) == text

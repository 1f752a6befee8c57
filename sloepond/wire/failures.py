"""Constants for the reasons why a datagram is refused.

They are returned in place of a decoded value; nothing in `wire` raises an error for its input.
"""

from __future__ import annotations

from sentinels import Sentinel


class DatagramFailure(Sentinel):
    """A constant for the reason why a datagram is refused."""

    @property
    def reason(self) -> str:
        """The reason as one line of text."""
        return str(self._name)


class DecodeFailure(DatagramFailure):
    """The content of a datagram could not be decoded."""


class AuthenticationFailure(DatagramFailure):
    """A peer's datagram could not be authenticated, or was received before."""


OVERSIZED = DecodeFailure("larger than the size limit")
MALFORMED = DecodeFailure("not of the expected structure")
OUT_OF_RANGE = DecodeFailure("a number or text is out of its range")

ENVELOPE_MALFORMED = AuthenticationFailure("the envelope is truncated or malformed")
KEY_UNKNOWN = AuthenticationFailure("sealed with a key that is not in the key ring")
TAG_WRONG = AuthenticationFailure("the authentication tag is wrong")
REPLAYED = AuthenticationFailure("the sequence number was already received or is too old")
INCARNATION_OLD = AuthenticationFailure("from an older incarnation than one already received")
SENDER_SELF = AuthenticationFailure("sent under this balancer's own name")

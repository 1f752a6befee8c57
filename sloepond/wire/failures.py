"""Fixed values that say why a datagram was refused.

They are returned in place of a decoded value; nothing in `wire` raises on input.
"""

from __future__ import annotations

from sentinels import Sentinel


class DatagramFailure(Sentinel):
    """A fixed value that says why a datagram was refused."""

    @property
    def reason(self) -> str:
        """Why the datagram was refused, as one line of text."""
        return str(self._name)


class DecodeFailure(DatagramFailure):
    """The content of a datagram could not be taken."""


class AuthenticationFailure(DatagramFailure):
    """A peer's datagram was not proved to be new and from a holder of a key."""


OVERSIZED = DecodeFailure("larger than the size limit")
MALFORMED = DecodeFailure("not of the expected structure")
OUT_OF_RANGE = DecodeFailure("a number or text is out of its range")

ENVELOPE_MALFORMED = AuthenticationFailure("the envelope is cut short or malformed")
KEY_UNKNOWN = AuthenticationFailure("sealed with a key that is not in the key ring")
TAG_WRONG = AuthenticationFailure("the authentication tag is wrong")
REPLAYED = AuthenticationFailure("the sequence number was seen or is too old")
INCARNATION_OLD = AuthenticationFailure("from an incarnation older than one already heard")
SENDER_SELF = AuthenticationFailure("sent under this balancer's own name")

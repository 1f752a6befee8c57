"""Authorization by bearer tokens, with separate tokens to read and to change state."""

from __future__ import annotations

import enum
import hashlib
import hmac
from collections.abc import Iterable

from sloepond.api.errors import ApiError, ErrorCode

SCHEME = "bearer"


class Access(enum.IntEnum):
    """Access level that a request requires or a token grants; each includes the lower ones."""

    NONE = 0
    READ = 1
    WRITE = 2


class TokenAuthorizer:
    """Authorizes requests by their bearer token.

    Without read tokens everyone may read; without write tokens nobody may write.
    Tokens are compared as digests in constant time, and always with every token,
    so that the duration reveals nothing about them.
    """

    def __init__(self, read_tokens: Iterable[str], write_tokens: Iterable[str]) -> None:
        self._read_digests = tuple(map(_digest, read_tokens))
        self._write_digests = tuple(map(_digest, write_tokens))
        self._anonymous_access = Access.NONE if self._read_digests else Access.READ

    def authorize(self, header: str | None, required: Access) -> None:
        """Check that a request has the required access.

        :param header: value of the `Authorization` header; None if it is absent.
        :raises ApiError: `unauthenticated` if a valid token is required and missing,
            `forbidden` if the token is valid but grants too little.
        """
        granted = self._anonymous_access if header is None else self._granted(header)
        if granted >= required:
            return
        if granted is Access.NONE or header is None:
            raise ApiError(ErrorCode.UNAUTHENTICATED, "a valid bearer token is needed")
        raise ApiError(ErrorCode.FORBIDDEN, f"the token does not allow to {required.name.lower()}")

    def _granted(self, header: str) -> Access:
        scheme, _, token = header.partition(" ")
        if scheme.lower() != SCHEME:
            return Access.NONE
        digest = _digest(token.strip())
        may_write = _matches_any(digest, self._write_digests)
        may_read = _matches_any(digest, self._read_digests)
        if may_write:
            return Access.WRITE
        return Access.READ if may_read else Access.NONE


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()


def _matches_any(digest: bytes, digests: tuple[bytes, ...]) -> bool:
    matches = [hmac.compare_digest(digest, other) for other in digests]
    return any(matches)

"""Parses and validates parts of requests."""

from __future__ import annotations

from typing import overload

import trio
from starlette.requests import ClientDisconnect, Request

from sloepond.api.errors import ApiError, ErrorCode
from sloepond.resources.model import Kind

BODY_TIMEOUT_S = 10.0
"""Time within which a request body must arrive."""
MAXIMUM_VERSION_DIGITS = 18

_KIND_BY_NAME = {kind.value.lower(): kind for kind in Kind}


@overload
def parse_kind(text: str) -> Kind: ...
@overload
def parse_kind(text: None) -> None: ...
@overload
def parse_kind(text: str | None) -> Kind | None: ...
def parse_kind(text: str | None) -> Kind | None:
    """Return the kind named in a query or path, ignoring case; None if none is given.

    :raises ApiError: `invalid` for an unknown kind.
    """
    if text is None:
        return None
    kind = _KIND_BY_NAME.get(text.lower())
    if kind is None:
        raise ApiError(ErrorCode.INVALID, f"unknown kind; the kinds are {', '.join(Kind)}")
    return kind


def parse_version(text: str) -> int:
    """Return the generation to watch from.

    :raises ApiError: `invalid` if it is not a whole number from 0.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAXIMUM_VERSION_DIGITS:
        raise ApiError(ErrorCode.INVALID, "resource_version must be a whole number from 0")
    return int(text)


async def read_body(request: Request, limit: int) -> bytes:
    """Return the body of a request.

    :param limit: maximum size, in bytes.
    :raises ApiError: `body-too-large` above the limit; `invalid` if the body does
        not arrive completely within `BODY_TIMEOUT_S`.
    """
    body = bytearray()
    try:
        with trio.fail_after(BODY_TIMEOUT_S):
            async for chunk in request.stream():
                body += chunk
                if len(body) > limit:
                    raise ApiError(ErrorCode.BODY_TOO_LARGE, f"the body is larger than {limit} bytes")
    except trio.TooSlowError as error:
        raise ApiError(ErrorCode.INVALID, f"the body took longer than {BODY_TIMEOUT_S:.0f} s") from error
    except ClientDisconnect as error:
        raise ApiError(ErrorCode.INVALID, "the body was cut short") from error
    return bytes(body)

"""Errors of the API: each has a code, the HTTP status of that code, and a reason."""

from __future__ import annotations

import enum

import msgspec
from starlette.responses import Response

JSON_MEDIA_TYPE = "application/json"


class ErrorCode(enum.StrEnum):
    """Why a request was refused."""

    INVALID = "invalid"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    VERSION_GONE = "version-gone"
    BODY_TOO_LARGE = "body-too-large"
    TOO_MANY_WATCHES = "too-many-watches"
    TOO_MANY_CHECKS = "too-many-checks"
    INTERNAL = "internal"


HTTP_STATUS = {
    ErrorCode.INVALID: 400,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.METHOD_NOT_ALLOWED: 405,
    ErrorCode.VERSION_GONE: 410,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.TOO_MANY_WATCHES: 429,
    ErrorCode.TOO_MANY_CHECKS: 429,
    ErrorCode.INTERNAL: 500,
}
_CODE_BY_STATUS = {404: ErrorCode.NOT_FOUND, 405: ErrorCode.METHOD_NOT_ALLOWED}
"""Codes for errors that the HTTP framework raises."""


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of every response with status 400 or above.

    :ivar reason: one line of text.
    """

    code: ErrorCode
    reason: str


class ApiError(Exception):
    """Raised to refuse a request.

    :param reason: one line of text for the operator.
    """

    def __init__(self, code: ErrorCode, reason: str) -> None:
        super().__init__(reason)
        self.body = ErrorBody(code, reason)


def error_for_status(status: int) -> ErrorCode:
    """Return the code for an HTTP status set by the framework."""
    return _CODE_BY_STATUS.get(status, ErrorCode.INVALID)


def json_response(content: object, status: int = 200) -> Response:
    """Return a typed struct as a JSON response."""
    return Response(msgspec.json.encode(content), status_code=status, media_type=JSON_MEDIA_TYPE)


def error_response(body: ErrorBody) -> Response:
    """Return the response for an error."""
    response = json_response(body, HTTP_STATUS[body.code])
    if body.code is ErrorCode.UNAUTHENTICATED:
        response.headers["www-authenticate"] = "Bearer"
    return response

"""Dry run: validates a set of resources without putting it in force."""

from __future__ import annotations

import msgspec
import trio

from sloepond.api.errors import ApiError, ErrorCode
from sloepond.resources.documents import JSON_SUFFIX, parse_text
from sloepond.resources.findings import Finding
from sloepond.resources.validation import validate_documents

REQUEST_SOURCE = "request"
YAML_MEDIA_TYPES = ("application/yaml", "application/x-yaml", "text/yaml")
MAXIMUM_PENDING_CHECKS = 4
"""Checks that run or wait for the thread; more are refused."""


class CheckAnswer(msgspec.Struct, frozen=True):
    """Body of the response to `POST /v1/check`.

    :ivar resources: number of resources that are valid by themselves.
    """

    valid: bool
    resources: int
    findings: tuple[Finding, ...]


class ResourceChecker:
    """Validates one set of resources at a time, in a thread, so that the data path is not blocked."""

    def __init__(self) -> None:
        self._limiter = trio.CapacityLimiter(1)
        self._pending = 0

    async def check(self, body: bytes, media_type: str) -> CheckAnswer:
        """Validate the resources of a request body.

        :param body: one resource, a list of them, an object with a list
            `resources`, or YAML documents.
        :raises ApiError: `too-many-checks` if too many checks are running or waiting.
        """
        if self._pending >= MAXIMUM_PENDING_CHECKS:
            raise ApiError(
                ErrorCode.TOO_MANY_CHECKS, f"{MAXIMUM_PENDING_CHECKS} checks are running; try again later"
            )
        self._pending += 1
        try:
            return await trio.to_thread.run_sync(check_body, body, media_type, limiter=self._limiter)
        finally:
            self._pending -= 1


def check_body(body: bytes, media_type: str) -> CheckAnswer:
    """Return the findings about the resources of a request body."""
    source = REQUEST_SOURCE if media_type in YAML_MEDIA_TYPES else REQUEST_SOURCE + JSON_SUFFIX
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return CheckAnswer(False, 0, (Finding(source, 0, 0, "", "not UTF-8 text"),))
    parsed = parse_text(text, source)
    findings = parsed.findings
    if not parsed.documents and not findings:
        findings = (Finding(source, 0, 0, "", "no resource is declared"),)
    validated = validate_documents(parsed.documents)
    ordered = tuple(sorted({*findings, *validated.findings}))
    return CheckAnswer(not ordered, len(validated.resources), ordered)

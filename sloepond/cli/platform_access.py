"""Client of the platform's configuration service, for operators' commands."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from sloepond.cli.exit_codes import REFUSED, UNREACHABLE
from sloepond.cli.failures import CommandFailure
from sloepond.cli.http_access import STATUS_CONFLICT, STATUS_OK, Answer, HttpAccess
from sloepond.resources.findings import Finding
from sloepond.resources.model import ConfigurationSnapshot, Resource
from sloepond.runtime.platform_client import CONFIGURATION_PATH, ReadFailure, decode_configuration

BodyType = TypeVar("BodyType")


class ConfigurationWrite(msgspec.Struct, frozen=True):
    """Body of `PUT /v1/configuration`."""

    resources: tuple[Resource, ...]
    base_generation: int | None


class Written(msgspec.Struct, frozen=True):
    """Body of the response to a successful write."""

    generation: int
    digest: str


class Refusal(msgspec.Struct, frozen=True):
    """Body of the response to a refused write."""

    findings: tuple[Finding, ...] = ()
    reason: str = ""


class PlatformAccess:
    """The configuration service of one platform."""

    def __init__(self, http: HttpAccess) -> None:
        self._http = http

    def read(self) -> ConfigurationSnapshot | CommandFailure:
        """Return the newest configuration; generation 0 if none has been written yet."""
        answer = self._http.request("GET", CONFIGURATION_PATH)
        if isinstance(answer, CommandFailure):
            return answer
        if answer.status != STATUS_OK:
            return self._refused(answer)
        checked = decode_configuration(answer.body)
        if isinstance(checked, ReadFailure):
            return CommandFailure(
                REFUSED, f"the configuration of {self._http.url} is invalid: {checked.reason}"
            )
        return checked

    def write(self, resources: Sequence[Resource], base_generation: int | None) -> Written | CommandFailure:
        """Replace the whole configuration.

        :param base_generation: generation that the change is based on; the write is
            refused if it is no longer the newest.
        """
        body = msgspec.json.encode(ConfigurationWrite(tuple(resources), base_generation))
        answer = self._http.request("PUT", CONFIGURATION_PATH, body=body)
        if isinstance(answer, CommandFailure):
            return answer
        if answer.status == STATUS_CONFLICT:
            reason = f"the configuration has changed since generation {base_generation}; nothing was written"
            return CommandFailure(REFUSED, reason)
        if answer.status != STATUS_OK:
            return self._refused(answer)
        written = decode_body(answer.body, Written)
        if written is None:
            return CommandFailure(UNREACHABLE, f"{self._http.url}: malformed answer to a write")
        return written

    def _refused(self, answer: Answer) -> CommandFailure:
        refusal = decode_body(answer.body, Refusal) or Refusal()
        detail = refusal.reason or f"{len(refusal.findings)} findings"
        code = UNREACHABLE if answer.status >= 500 else REFUSED
        reason = f"{self._http.url}{CONFIGURATION_PATH}: status {answer.status}, {detail}"
        return CommandFailure(code, reason, refusal.findings)


def decode_body(body: bytes, expected: type[BodyType]) -> BodyType | None:
    """Decode a JSON body as `expected`; None if it is malformed."""
    try:
        return msgspec.json.decode(body, type=expected)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None

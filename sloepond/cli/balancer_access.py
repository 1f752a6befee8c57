"""Client of the balancers' API."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import msgspec

from sloepond.api.changes import ChangeType, WatchEvent
from sloepond.api.errors import ErrorBody
from sloepond.api.status import BalancerStatus
from sloepond.cli.exit_codes import REFUSED, UNREACHABLE
from sloepond.cli.failures import CommandFailure
from sloepond.cli.http_access import STATUS_OK, Answer, HttpAccess
from sloepond.cli.platform_access import decode_body
from sloepond.resources.model import Kind, Resource

STATUS_PATH = "/v1/status"
RESOURCES_PATH = "/v1/resources"
WATCH_PATH = "/v1/watch"


class ResourceListing(msgspec.Struct, frozen=True):
    """The part of the body of `GET /v1/resources` that the commands use."""

    resources: tuple[Resource, ...]


class FleetAnswer(msgspec.Struct, frozen=True):
    """Statuses of the balancers that answered, and the failures of the others."""

    statuses: tuple[BalancerStatus, ...]
    failures: tuple[CommandFailure, ...]


class BalancerAccess:
    """The API of one or more balancers."""

    def __init__(self, servers: Sequence[HttpAccess]) -> None:
        self._servers = servers

    def statuses(self) -> FleetAnswer:
        """Request the status of every balancer."""
        statuses: list[BalancerStatus] = []
        failures: list[CommandFailure] = []
        for server in self._servers:
            status = _status_of(server)
            if isinstance(status, CommandFailure):
                failures.append(status)
            else:
                statuses.append(status)
        return FleetAnswer(tuple(statuses), tuple(failures))

    def resources(self, kind: Kind | None) -> ResourceListing | CommandFailure:
        """Return the resources in force on the first balancer that answers."""
        answer = self._first_answer(RESOURCES_PATH, _kind_query(kind))
        if isinstance(answer, CommandFailure):
            return answer
        return decode_body(answer.body, ResourceListing) or _malformed(RESOURCES_PATH)

    def resource(self, kind: Kind, name: str) -> Resource | CommandFailure:
        """Return one resource in force on the first balancer that answers."""
        path = f"{RESOURCES_PATH}/{kind}/{name}"
        answer = self._first_answer(path, {})
        if isinstance(answer, CommandFailure):
            return answer
        resource = decode_body(answer.body, Resource)  # type: ignore[arg-type]
        return resource or _malformed(path)

    def watch(self, kind: Kind | None, since: int) -> Iterator[WatchEvent | CommandFailure]:
        """Yield changes as they come into force, from the first balancer given.

        :param since: generation to start after; 0 lists all resources first.
        """
        query = {"resource_version": str(since)} | _kind_query(kind)
        server = self._servers[0]
        for line in server.stream_lines(WATCH_PATH, query):
            if isinstance(line, Answer):
                yield _refusal(server, WATCH_PATH, line)
                return
            event = line if isinstance(line, CommandFailure) else decode_body(line.encode(), WatchEvent)
            yield event or _malformed(server.url + WATCH_PATH)
            if event is None or isinstance(event, CommandFailure) or event.type is ChangeType.GONE:
                return

    def _first_answer(self, path: str, query: dict[str, str]) -> Answer | CommandFailure:
        failure = CommandFailure(UNREACHABLE, "no balancer was queried")
        for server in self._servers:
            answer = server.request("GET", path, query)
            if isinstance(answer, CommandFailure):
                failure = answer
                continue
            return _require_ok(server, path, answer)
        return failure


def _status_of(server: HttpAccess) -> BalancerStatus | CommandFailure:
    answer = server.request("GET", STATUS_PATH)
    if isinstance(answer, Answer):
        answer = _require_ok(server, STATUS_PATH, answer)
    if isinstance(answer, CommandFailure):
        return answer
    return decode_body(answer.body, BalancerStatus) or _malformed(server.url + STATUS_PATH)


def _require_ok(server: HttpAccess, path: str, answer: Answer) -> Answer | CommandFailure:
    return answer if answer.status == STATUS_OK else _refusal(server, path, answer)


def _refusal(server: HttpAccess, path: str, answer: Answer) -> CommandFailure:
    error = decode_body(answer.body, ErrorBody)
    detail = error.reason if error else f"status {answer.status}"
    code = UNREACHABLE if answer.status >= 500 else REFUSED
    return CommandFailure(code, f"{server.url}{path}: {detail}")


def _kind_query(kind: Kind | None) -> dict[str, str]:
    return {"kind": str(kind)} if kind else {}


def _malformed(path: str) -> CommandFailure:
    return CommandFailure(UNREACHABLE, f"{path}: malformed answer")

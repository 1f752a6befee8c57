"""The HTTP application of the operators' API: its paths and their handlers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import logbook
import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from sloepond.api.authorization import Access, TokenAuthorizer
from sloepond.api.checking import ResourceChecker
from sloepond.api.errors import (
    ApiError,
    ErrorBody,
    ErrorCode,
    error_for_status,
    error_response,
    json_response,
)
from sloepond.api.feed import ConfigurationFeed
from sloepond.api.metrics import Metrics
from sloepond.api.readiness import Readiness, readiness_of
from sloepond.api.request_parts import parse_kind, parse_version, read_body
from sloepond.api.resource_status import with_status
from sloepond.api.state import ApiState
from sloepond.api.status import build_status
from sloepond.api.watching import WatchLimiter, WatchResponse
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.model import Resource
from sloepond.runtime.settings import ApiSettings

METRICS_MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8"

Handler = Callable[[Request], Awaitable[Response]]


class ResourceListing(msgspec.Struct, frozen=True):
    """Body of `GET /v1/resources`.

    :ivar generation: generation in force; a watch can start after it.
    """

    resources: tuple[Resource, ...]
    generation: int


class LeaveAccepted(msgspec.Struct, frozen=True):
    """Body of the response to `POST /v1/leave`."""

    name: str
    state: str


class OperatorsApi:
    """Handlers of all paths.

    :param feed: feed of the configuration that is in force on the node of `state`.
    """

    def __init__(
        self, state: ApiState, settings: ApiSettings, feed: ConfigurationFeed, logger: logbook.Logger
    ) -> None:
        self._state = state
        self._logger = logger
        self._settings = settings
        self._feed = feed
        self._metrics = Metrics(state)
        self._checker = ResourceChecker()
        self._authorizer = TokenAuthorizer(settings.read_tokens, settings.write_tokens)
        self._watches = WatchLimiter(settings.watch_limit)
        self._logged_failures: set[tuple[str, type]] = set()

    def application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                self._route("/healthz", self._health, Access.NONE),
                self._route("/readyz", self._readiness, Access.NONE),
                self._route("/metrics", self._get_metrics, Access.READ),
                self._route("/v1/status", self._get_status, Access.READ),
                self._route("/v1/resources", self._list_resources, Access.READ),
                self._route("/v1/resources/{kind}/{name}", self._get_resource, Access.READ),
                self._route("/v1/watch", self._watch, Access.READ),
                self._route("/v1/check", self._check, Access.READ, "POST"),
                self._route("/v1/leave", self._leave, Access.WRITE, "POST"),
            ],
            exception_handlers={
                ApiError: _api_error_response,
                HTTPException: _http_exception_response,
            },
        )

    def _route(self, path: str, handler: Handler, access: Access, method: str = "GET") -> Route:
        async def authorized(request: Request) -> Response:
            self._authorizer.authorize(request.headers.get("authorization"), access)
            try:
                return await handler(request)
            except ApiError:
                raise
            except Exception as error:
                self._record_failure(path, error)
                raise ApiError(ErrorCode.INTERNAL, "the request failed; see the log") from error

        route = Route(path, authorized, methods=[method], name=path)
        route.methods = {method}
        return route

    def _record_failure(self, path: str, error: Exception) -> None:
        """Count a failure; log the first one of each path and exception type with its traceback."""
        self._state.node.counters.handler_failures += 1
        kind = (path, type(error))
        if kind in self._logged_failures:
            return
        self._logged_failures.add(kind)
        self._logger.error(
            "request failed; later failures of this kind are only counted",
            extra={"kind": "handler-failure", "subject": path},
            exc_info=(type(error), error, error.__traceback__),
        )

    @property
    def _in_force(self) -> CompiledConfiguration:
        return self._state.node.configuration.in_force

    async def _health(self, request: Request) -> Response:
        return json_response(Readiness(ok=True))

    async def _readiness(self, request: Request) -> Response:
        readiness = readiness_of(self._state.node.status())
        return json_response(readiness, 200 if readiness.ok else 503)

    async def _get_metrics(self, request: Request) -> Response:
        return Response(self._metrics.render(), headers={"content-type": METRICS_MEDIA_TYPE})

    async def _get_status(self, request: Request) -> Response:
        return json_response(build_status(self._state))

    async def _list_resources(self, request: Request) -> Response:
        kind = parse_kind(request.query_params.get("kind"))
        configuration = self._in_force
        listed = tuple(
            with_status(resource, configuration)
            for resource in configuration.snapshot.resources
            if kind is None or type(resource).__name__ == kind.value
        )
        return json_response(ResourceListing(listed, configuration.generation))

    async def _get_resource(self, request: Request) -> Response:
        kind = parse_kind(request.path_params["kind"])
        name = request.path_params["name"]
        configuration = self._in_force
        for resource in configuration.snapshot.resources:
            if type(resource).__name__ == kind and resource.metadata.name == name:
                return json_response(with_status(resource, configuration))
        raise ApiError(ErrorCode.NOT_FOUND, f"no {kind} of this name is in force")

    async def _watch(self, request: Request) -> Response:
        kind = parse_kind(request.query_params.get("kind"))
        version = parse_version(request.query_params.get("resource_version", "0"))
        self._feed.poll()
        if not self._feed.can_resume(version):
            reason = f"changes after {version} are not known here; list the resources and watch from there"
            raise ApiError(ErrorCode.VERSION_GONE, reason)
        return WatchResponse(self._feed.watch(version), kind, self._watches.open())

    async def _check(self, request: Request) -> Response:
        body = await read_body(request, self._settings.body_limit_bytes)
        media_type = request.headers.get("content-type", "").partition(";")[0].strip().lower()
        return json_response(await self._checker.check(body, media_type))

    async def _leave(self, request: Request) -> Response:
        self._state.request_stop()
        status = self._state.node.status()
        return json_response(LeaveAccepted(status.name, status.state), 202)


def create_app(
    state: ApiState, settings: ApiSettings, feed: ConfigurationFeed, logger: logbook.Logger
) -> Starlette:
    """Return the ASGI application of the operators' API.

    :param feed: feed of the configuration that is in force on the node of `state`;
        the caller runs `feed.poll_continuously`.
    """
    return OperatorsApi(state, settings, feed, logger).application()


async def _api_error_response(_: Request, error: Exception) -> Response:
    assert isinstance(error, ApiError)
    return error_response(error.body)


async def _http_exception_response(_: Request, error: Exception) -> Response:
    assert isinstance(error, HTTPException)
    return error_response(ErrorBody(error_for_status(error.status_code), error.detail))

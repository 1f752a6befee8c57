"""Reading the platform's configuration and list of machines over HTTP.

The platform's service is read-only and may be down, stale or wrong: every
failure is a value with a reason.  Answers are taken only if every field of them
has its type.

Owns the HTTP client.  Relies on `resources` to decode and check what was read.
"""

from __future__ import annotations

import functools
import ssl
from typing import Any, TypeVar

import httpx
import msgspec
import trio
from sentinels import Sentinel

from sloepond.core.messages import Member
from sloepond.resources.model import ConfigurationSnapshot
from sloepond.runtime.settings import PlatformSettings

CONFIGURATION_PATH = "/v1/configuration"
MACHINES_PATH = "/v1/machines"
MAXIMUM_GENERATION = 2**62

_STATUS_OK = 200
_STATUS_NOT_MODIFIED = 304

BodyType = TypeVar("BodyType")


class ReadFailure(msgspec.Struct, frozen=True):
    """Why a read gave nothing that can be used."""

    reason: str


class NotModified(Sentinel):
    """The type of `NOT_MODIFIED`."""


NOT_MODIFIED = NotModified("the known generation is the newest")
"""Returned where the platform has no other generation than the known one."""


class MachineListBody(msgspec.Struct, frozen=True):
    """Body of `GET /v1/machines`."""

    members: tuple[Member, ...]


class PlatformClient:
    """Reads from one platform; used as an asynchronous context manager."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._client = httpx.AsyncClient(
            base_url=settings.url,
            headers={"authorization": f"Bearer {settings.token}"} if settings.token else {},
            timeout=settings.timeout_s,
            verify=_tls_context(settings),
            trust_env=False,
        )

    async def __aenter__(self) -> PlatformClient:
        await self._client.__aenter__()
        return self

    async def __aexit__(self, *exception: Any) -> None:
        await self._client.__aexit__(*exception)

    async def read_configuration(
        self, known_generation: int
    ) -> ConfigurationSnapshot | NotModified | ReadFailure:
        """Return the platform's configuration, unless it is the known one."""
        body = await self._read(CONFIGURATION_PATH, {"known_generation": str(known_generation)})
        if not isinstance(body, bytes):
            return body
        return decode_configuration(body)

    async def read_machine_list(self) -> tuple[Member, ...] | ReadFailure:
        """Return the machines the platform believes to be live."""
        body = await self._read(MACHINES_PATH, {})
        if isinstance(body, NotModified):
            return ReadFailure("not modified, though no version was named")
        if isinstance(body, ReadFailure):
            return body
        decoded = _decode(body, MachineListBody)
        return decoded if isinstance(decoded, ReadFailure) else decoded.members

    async def _read(self, path: str, query: dict[str, str]) -> bytes | NotModified | ReadFailure:
        try:
            with trio.fail_after(self._settings.timeout_s):
                async with self._client.stream("GET", path, params=query) as response:
                    return await self._take(response)
        except trio.TooSlowError:
            return ReadFailure(f"no answer within {self._settings.timeout_s} s")
        except (httpx.HTTPError, httpx.InvalidURL, OSError) as error:
            return ReadFailure(f"{type(error).__name__}: {error}")

    async def _take(self, response: httpx.Response) -> bytes | NotModified | ReadFailure:
        """Read the whole answer, so that the connection can be used again."""
        body = bytearray()
        async for chunk in response.aiter_bytes():
            body += chunk
            if len(body) > self._settings.body_limit_bytes:
                return ReadFailure(f"larger than {self._settings.body_limit_bytes} bytes")
        if response.status_code == _STATUS_NOT_MODIFIED:
            return NOT_MODIFIED
        if response.status_code != _STATUS_OK:
            return ReadFailure(f"status {response.status_code}")
        return bytes(body)


def decode_configuration(body: bytes) -> ConfigurationSnapshot | ReadFailure:
    """Return the snapshot in the body of a configuration read, or why there is none.

    The core checks its digest and its resources against each other.
    """
    snapshot = _decode(body, ConfigurationSnapshot)
    if isinstance(snapshot, ReadFailure):
        return snapshot
    if not 0 <= snapshot.generation <= MAXIMUM_GENERATION:
        return ReadFailure(f"generation {snapshot.generation} is out of range")
    return snapshot


def _decode(body: bytes, body_type: type[BodyType]) -> BodyType | ReadFailure:
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return ReadFailure(f"malformed: {error}")


@functools.lru_cache(maxsize=4)
def _tls_context(settings: PlatformSettings) -> ssl.SSLContext | bool:
    """Return how servers' certificates are checked; plain HTTP needs no context."""
    if not settings.url.startswith("https://"):
        return False
    context = ssl.create_default_context()
    if settings.ca_file:
        context.load_verify_locations(settings.ca_file)
    return context

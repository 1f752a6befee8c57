"""Reads the platform's configuration and machine list over HTTP.

The platform's service is read-only and may be down, stale or wrong, so every failure is returned as a
value with a reason.  A response is accepted only if each of its fields has the declared type.

Owns the HTTP client.  Relies on the structs of `resources` and `core` to decode responses.
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
    """Why a read has no usable result."""

    reason: str


class NotModified(Sentinel):
    """The type of `NOT_MODIFIED`."""


NOT_MODIFIED = NotModified("the known generation is the newest")
"""Returned if the platform has no other generation than the known one."""


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
        """Return the platform's configuration, unless it is of the known generation."""
        body = await self._read(CONFIGURATION_PATH, {"known_generation": str(known_generation)})
        if not isinstance(body, bytes):
            return body
        return decode_configuration(body)

    async def read_machine_list(self) -> tuple[Member, ...] | ReadFailure:
        """Return the machines that the platform lists as live."""
        body = await self._read(MACHINES_PATH, {})
        if isinstance(body, NotModified):
            return ReadFailure("not modified, although no known version was sent")
        if isinstance(body, ReadFailure):
            return body
        decoded = _decode(body, MachineListBody)
        return decoded if isinstance(decoded, ReadFailure) else decoded.members

    async def _read(self, path: str, query: dict[str, str]) -> bytes | NotModified | ReadFailure:
        try:
            with trio.fail_after(self._settings.timeout_s):
                async with self._client.stream("GET", path, params=query) as response:
                    return await self._read_body(response)
        except trio.TooSlowError:
            return ReadFailure(f"no response within {self._settings.timeout_s} s")
        except (httpx.HTTPError, httpx.InvalidURL, OSError) as error:
            return ReadFailure(f"{type(error).__name__}: {error}")

    async def _read_body(self, response: httpx.Response) -> bytes | NotModified | ReadFailure:
        """Return the body of a response; read it completely, so that the connection is reusable."""
        body = bytearray()
        async for chunk in response.aiter_bytes():
            body += chunk
            if len(body) > self._settings.body_limit_bytes:
                return ReadFailure(f"the body is larger than {self._settings.body_limit_bytes} bytes")
        if response.status_code == _STATUS_NOT_MODIFIED:
            return NOT_MODIFIED
        if response.status_code != _STATUS_OK:
            return ReadFailure(f"status {response.status_code}")
        return bytes(body)


def decode_configuration(body: bytes) -> ConfigurationSnapshot | ReadFailure:
    """Return the snapshot in the body of a configuration read, or why it cannot be used.

    The core checks the digest and the references between resources.
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
    """Return the context that verifies servers' certificates, False for plain HTTP."""
    if not settings.url.startswith("https://"):
        return False
    context = ssl.create_default_context()
    if settings.ca_file:
        context.load_verify_locations(settings.ca_file)
    return context

"""HTTP client of the commands; failures are returned as values, not raised."""

from __future__ import annotations

import ssl
from collections.abc import Iterator, Mapping

import httpx
import msgspec

from sloepond.cli.exit_codes import BAD_INPUT, UNREACHABLE
from sloepond.cli.failures import CommandFailure

REQUEST_TIMEOUT_S = 3.0
MAXIMUM_BODY_BYTES = 64 * 1024 * 1024
"""Size limit of a response body; a larger one is a failure."""

STATUS_OK = 200
STATUS_CONFLICT = 409


class Answer(msgspec.Struct, frozen=True):
    """A complete response of a server."""

    status: int
    body: bytes


class HttpAccess:
    """Sends requests to one server.

    :param url: base URL without a trailing slash.
    :param token: bearer token; empty for none.
    :param tls: context that verifies the server's certificate; False for plain HTTP.
    """

    def __init__(self, url: str, token: str, tls: ssl.SSLContext | bool) -> None:
        self.url = url
        self._client = httpx.Client(
            base_url=url,
            headers={"authorization": f"Bearer {token}"} if token else {},
            timeout=REQUEST_TIMEOUT_S,
            verify=tls,
            trust_env=False,
        )

    def request(
        self, method: str, path: str, query: Mapping[str, str] | None = None, body: bytes | None = None
    ) -> Answer | CommandFailure:
        """Send one request and return the complete response."""
        headers = {"content-type": "application/json"} if body is not None else None
        try:
            with self._client.stream(method, path, params=query, content=body, headers=headers) as response:
                return self._read(response)
        except (httpx.HTTPError, httpx.InvalidURL, OSError) as error:
            return self._unreachable(error)

    def _read(self, response: httpx.Response) -> Answer | CommandFailure:
        body = bytearray()
        for chunk in response.iter_bytes():
            body += chunk
            if len(body) > MAXIMUM_BODY_BYTES:
                return CommandFailure(
                    UNREACHABLE, f"{self.url}: answer larger than {MAXIMUM_BODY_BYTES} bytes"
                )
        return Answer(response.status_code, bytes(body))

    def stream_lines(self, path: str, query: Mapping[str, str]) -> Iterator[str | Answer | CommandFailure]:
        """Yield the lines of a streaming response.

        A response with a status other than 200 is yielded as one `Answer`.  An `Answer` or a
        failure is the last value.
        """
        timeout = httpx.Timeout(REQUEST_TIMEOUT_S, read=None)
        try:
            with self._client.stream("GET", path, params=query, timeout=timeout) as response:
                if response.status_code != STATUS_OK:
                    yield self._read(response)
                    return
                yield from response.iter_lines()
        except (httpx.HTTPError, OSError) as error:
            yield self._unreachable(error)

    def _unreachable(self, error: Exception) -> CommandFailure:
        detail = str(error) or type(error).__name__
        return CommandFailure(UNREACHABLE, f"cannot reach {self.url}: {detail}")

    def close(self) -> None:
        """Close the connections."""
        self._client.close()


def open_http(url: str, token: str, ca_file: str) -> HttpAccess | CommandFailure:
    """Return access to a server; for HTTPS its certificate must be trusted.

    :param ca_file: file of certificates to trust in addition to the system's; empty for none.
    """
    if not url.startswith("https://"):
        return HttpAccess(url, token, tls=False)
    context = ssl.create_default_context()
    try:
        if ca_file:
            context.load_verify_locations(ca_file)
    except OSError as error:  # ssl.SSLError is a subclass.
        return CommandFailure(BAD_INPUT, f"certificates of {ca_file} cannot be read: {error.strerror}")
    return HttpAccess(url, token, context)

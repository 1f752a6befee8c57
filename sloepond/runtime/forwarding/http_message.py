"""Parses heads and bodies of HTTP/1.1 messages, without I/O.

Supports what the store, the routers' readiness check and metrics scrapers send.  h11 is not used,
since its import takes 30% of the start time (docs/adr/0011-lean-event-loop.md); property tests compare
this parser with it.  Owns and relies on nothing; buffers belong to the callers.
"""

from __future__ import annotations

END_OF_LINE = b"\r\n"
END_OF_HEAD = b"\r\n\r\n"
MAXIMUM_HEAD_BYTES = 16_384
"""Longest accepted head, in bytes; h11 has the same limit."""
MAXIMUM_CHUNK_LINE_BYTES = 256
"""Longest line with the size of a chunk, in bytes: 16 digits and some extensions.

It bounds the buffer for a line that never ends.
"""
HEXADECIMAL = frozenset(b"0123456789abcdefABCDEF")

UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/")
"""Bytes that are not percent-encoded in a query: the unreserved ones of RFC 3986, and the slash."""


class HttpSyntaxError(Exception):
    """A message is not HTTP/1.1 or is truncated."""


class HttpHead:
    """First line and headers of a message.

    :ivar start_line: the three parts of the first line; the last may be empty.
    :ivar headers: values by name in lower case; of a repeated header the last value.
    """

    __slots__ = ("start_line", "headers")

    def __init__(self, start_line: tuple[str, str, str], headers: dict[str, str]) -> None:
        self.start_line = start_line
        self.headers = headers

    @property
    def content_length(self) -> int | None:
        """Length of the body in bytes, None if the header is absent.

        :raises HttpSyntaxError: if the header is not a number.
        """
        text = self.headers.get("content-length")
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise HttpSyntaxError(f"malformed content length {text!r}")
        return int(text)

    @property
    def is_chunked(self) -> bool:
        """Whether the body is sent in chunks."""
        return self.headers.get("transfer-encoding", "").lower() == "chunked"

    @property
    def closes(self) -> bool:
        """Whether the sender closes the connection after this message."""
        tokens = {token.strip() for token in self.headers.get("connection", "").lower().split(",")}
        return "close" in tokens or "HTTP/1.0" in self.start_line


def extract_head(buffer: bytearray) -> HttpHead | None:
    """Return the head at the start of a buffer and remove it, None while it is incomplete.

    :raises HttpSyntaxError: if it is malformed or longer than `MAXIMUM_HEAD_BYTES`.
    """
    end = buffer.find(END_OF_HEAD)
    if end < 0:
        if len(buffer) > MAXIMUM_HEAD_BYTES:
            raise HttpSyntaxError("the head is too long")
        return None
    lines = bytes(buffer[:end]).decode("latin-1").split("\r\n")
    del buffer[: end + len(END_OF_HEAD)]
    parts = lines[0].split(" ", 2)
    if len(parts) < 2:
        raise HttpSyntaxError(f"malformed first line {lines[0]!r}")
    return HttpHead((parts[0], parts[1], parts[2] if len(parts) > 2 else ""), _headers(lines[1:]))


def _headers(lines: list[str]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if not separator or not name or name != name.strip():
            raise HttpSyntaxError(f"malformed header {line!r}")
        headers[name.lower()] = value.strip()
    return headers


class BodyReader:
    """Collects the body that follows a head.

    :param length: length of the body in bytes, None if it is chunked or ends with the connection.
    :ivar is_complete: whether the whole body has been received.
    """

    def __init__(self, length: int | None, is_chunked: bool) -> None:
        self._remaining = length
        self._is_chunked = is_chunked
        self._parts: list[bytes] = []
        self._chunk_remaining = 0
        self._is_in_trailer = False
        self.is_complete = length == 0 and not is_chunked

    @property
    def body(self) -> bytes:
        """The part of the body received so far."""
        return b"".join(self._parts)

    def consume(self, buffer: bytearray) -> None:
        """Move the bytes of the body out of a buffer.

        :raises HttpSyntaxError: if chunks are malformed.
        """
        if self._is_chunked:
            while not self.is_complete and self._consume_chunk(buffer):
                continue
        elif self._remaining is None:
            self._move(buffer, len(buffer))
        else:
            self._remaining -= self._move(buffer, self._remaining)
            self.is_complete = self._remaining == 0

    def connection_closed(self) -> None:
        """End the body, because the connection has closed.

        :raises HttpSyntaxError: if the body is incomplete.
        """
        if self._is_chunked or self._remaining is not None:
            raise HttpSyntaxError("the connection closed within a body")
        self.is_complete = True

    def _move(self, buffer: bytearray, maximum: int) -> int:
        """Move at most `maximum` bytes from a buffer to the body; return how many."""
        part = bytes(buffer[:maximum])
        del buffer[: len(part)]
        if part:
            self._parts.append(part)
        return len(part)

    def _consume_chunk(self, buffer: bytearray) -> bool:
        """Consume one line or a part of one chunk; return whether the buffer held one."""
        if self._chunk_remaining > len(END_OF_LINE):
            moved = self._move(buffer, self._chunk_remaining - len(END_OF_LINE))
            self._chunk_remaining -= moved
            return moved > 0
        if self._chunk_remaining:
            return self._consume_chunk_end(buffer)
        line = _extract_line(buffer)
        if line is None:
            return False
        if self._is_in_trailer:
            self.is_complete = not line
            return True
        self._begin_chunk(line)
        return True

    def _consume_chunk_end(self, buffer: bytearray) -> bool:
        if len(buffer) < len(END_OF_LINE):
            return False
        if not buffer.startswith(END_OF_LINE):
            raise HttpSyntaxError("a chunk is longer than its stated size")
        del buffer[: len(END_OF_LINE)]
        self._chunk_remaining = 0
        return True

    def _begin_chunk(self, line: bytes) -> None:
        size = line.partition(b";")[0].strip()
        if not size or not HEXADECIMAL.issuperset(size):
            raise HttpSyntaxError(f"malformed chunk size {line!r}")
        data_bytes = int(size, 16)
        self._is_in_trailer = data_bytes == 0
        self._chunk_remaining = data_bytes + len(END_OF_LINE) if data_bytes else 0


def _extract_line(buffer: bytearray) -> bytes | None:
    """Return the line at the start of a buffer and remove it, None while it is incomplete."""
    end = buffer.find(END_OF_LINE)
    if end < 0:
        if len(buffer) > MAXIMUM_CHUNK_LINE_BYTES:
            raise HttpSyntaxError("the line of a chunk size is too long")
        return None
    line = bytes(buffer[:end])
    del buffer[: end + len(END_OF_LINE)]
    return line


def quote(text: str) -> str:
    """Return a text percent-encoded like `urllib.parse.quote`, whose module takes long to import."""
    return "".join(chr(byte) if byte in UNRESERVED else f"%{byte:02X}" for byte in text.encode())

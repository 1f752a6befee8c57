"""Heads and bodies of HTTP/1.1 messages, without I/O.

Understands what the store, the routers' readiness check and a metrics scraper send.  Loading h11
takes 30% of a start (docs/adr/0011-lean-event-loop.md); properties compare this reader with it.
Owns and relies on nothing: buffers belong to the callers.
"""

from __future__ import annotations

END_OF_LINE = b"\r\n"
END_OF_HEAD = b"\r\n\r\n"
LONGEST_HEAD_BYTES = 16_384
"""Longest head that is read, in bytes; h11 has the same limit."""
LONGEST_CHUNK_LINE_BYTES = 256
"""Longest line with the size of a chunk, in bytes, extensions included.

Not measured: 16 digits and some words; it bounds what is kept of a line that never ends.
"""
HEXADECIMAL = frozenset(b"0123456789abcdefABCDEF")

UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/")
"""Bytes that a query holds unquoted: the unreserved ones of RFC 3986, and the slash."""


class HttpSyntaxError(Exception):
    """What came is not HTTP/1.1, or it breaks off."""


class HttpHead:
    """First line and headers of a message.

    :ivar words: the three parts of the first line; the last may be empty.
    :ivar headers: values by the name in lower case; of several the last.
    """

    __slots__ = ("words", "headers")

    def __init__(self, words: tuple[str, str, str], headers: dict[str, str]) -> None:
        self.words = words
        self.headers = headers

    @property
    def content_length(self) -> int | None:
        """Bytes of the body, None without such a header.

        :raises HttpSyntaxError: if the header holds no number.
        """
        text = self.headers.get("content-length")
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise HttpSyntaxError(f"content length {text!r}")
        return int(text)

    @property
    def is_chunked(self) -> bool:
        """Whether the body comes in chunks."""
        return self.headers.get("transfer-encoding", "").lower() == "chunked"

    @property
    def closes(self) -> bool:
        """Whether the sender closes the connection after this message."""
        tokens = {token.strip() for token in self.headers.get("connection", "").lower().split(",")}
        return "close" in tokens or "HTTP/1.0" in self.words


def take_head(buffer: bytearray) -> HttpHead | None:
    """Return the head at the start of a buffer and remove it, None while it is not whole.

    :raises HttpSyntaxError: if it is no head, or longer than `LONGEST_HEAD_BYTES`.
    """
    end = buffer.find(END_OF_HEAD)
    if end < 0:
        if len(buffer) > LONGEST_HEAD_BYTES:
            raise HttpSyntaxError("head too long")
        return None
    lines = bytes(buffer[:end]).decode("latin-1").split("\r\n")
    del buffer[: end + len(END_OF_HEAD)]
    words = lines[0].split(" ", 2)
    if len(words) < 2:
        raise HttpSyntaxError(f"first line {lines[0]!r}")
    return HttpHead((words[0], words[1], words[2] if len(words) > 2 else ""), _headers(lines[1:]))


def _headers(lines: list[str]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if not separator or not name or name != name.strip():
            raise HttpSyntaxError(f"header {line!r}")
        headers[name.lower()] = value.strip()
    return headers


class BodyReader:
    """Collects the body that follows a head.

    :param length: bytes of the body, None if it is chunked or ends with the connection.
    :ivar is_whole: whether all of it has come.
    """

    def __init__(self, length: int | None, is_chunked: bool) -> None:
        self._left = length
        self._is_chunked = is_chunked
        self._parts: list[bytes] = []
        self._chunk_left = 0
        self._is_in_trailer = False
        self.is_whole = length == 0 and not is_chunked

    @property
    def body(self) -> bytes:
        """What has come up to now."""
        return b"".join(self._parts)

    def take(self, buffer: bytearray) -> None:
        """Remove from a buffer what belongs to the body.

        :raises HttpSyntaxError: if chunks are malformed.
        """
        if self._is_chunked:
            while not self.is_whole and self._take_chunk(buffer):
                continue
        elif self._left is None:
            self._move(buffer, len(buffer))
        else:
            self._left -= self._move(buffer, self._left)
            self.is_whole = self._left == 0

    def connection_closed(self) -> None:
        """Note that nothing more comes.

        :raises HttpSyntaxError: if the body is not whole.
        """
        if self._is_chunked or self._left is not None:
            raise HttpSyntaxError("the connection closed within a body")
        self.is_whole = True

    def _move(self, buffer: bytearray, most: int) -> int:
        """Move bytes from a buffer to the body; return how many."""
        part = bytes(buffer[:most])
        del buffer[: len(part)]
        if part:
            self._parts.append(part)
        return len(part)

    def _take_chunk(self, buffer: bytearray) -> bool:
        """Take one line or a part of one chunk; return whether there was something."""
        if self._chunk_left > len(END_OF_LINE):
            taken = self._move(buffer, self._chunk_left - len(END_OF_LINE))
            self._chunk_left -= taken
            return taken > 0
        if self._chunk_left:
            return self._take_chunk_end(buffer)
        line = _take_line(buffer)
        if line is None:
            return False
        if self._is_in_trailer:
            self.is_whole = not line
            return True
        self._begin_chunk(line)
        return True

    def _take_chunk_end(self, buffer: bytearray) -> bool:
        if len(buffer) < len(END_OF_LINE):
            return False
        if not buffer.startswith(END_OF_LINE):
            raise HttpSyntaxError("a chunk is longer than it says")
        del buffer[: len(END_OF_LINE)]
        self._chunk_left = 0
        return True

    def _begin_chunk(self, line: bytes) -> None:
        size = line.partition(b";")[0].strip()
        if not size or not HEXADECIMAL.issuperset(size):
            raise HttpSyntaxError(f"chunk size {line!r}")
        data_bytes = int(size, 16)
        self._is_in_trailer = data_bytes == 0
        self._chunk_left = data_bytes + len(END_OF_LINE) if data_bytes else 0


def _take_line(buffer: bytearray) -> bytes | None:
    """Return the line at the start of a buffer and remove it, None while it is not whole."""
    end = buffer.find(END_OF_LINE)
    if end < 0:
        if len(buffer) > LONGEST_CHUNK_LINE_BYTES:
            raise HttpSyntaxError("line too long")
        return None
    line = bytes(buffer[:end])
    del buffer[: end + len(END_OF_LINE)]
    return line


def quote(text: str) -> str:
    """Return a text percent-encoded for a query, as `urllib.parse.quote` does, which takes long to load."""
    return "".join(chr(byte) if byte in UNRESERVED else f"%{byte:02X}" for byte in text.encode())

"""The type of all sockets in the balancer's process, based on the C module `_socket`.

Importing `socket` takes 5% of the start time, since it turns its constants into enumerations;
`_socket` lacks only `accept` and `with`.  Owns and relies on nothing else.  A `socket.socket` can be
used in place of this type.
"""

from __future__ import annotations

import _socket
from types import TracebackType


class Socket(_socket.socket):
    """A socket with `accept` that `with` closes."""

    __slots__ = ()

    def __enter__(self) -> Socket:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def accept(self) -> tuple[Socket, object]:
        """Return the next connection and the address of its other end.

        :raises BlockingIOError: if there is none; another OSError if it cannot be accepted.
        """
        descriptor, address = self._accept()  # type: ignore[attr-defined]  # Missing in the stubs.
        return Socket(self.family, self.type, self.proto, fileno=descriptor), address

"""The type of all sockets in the balancer's process, on the C module under `socket`.

`socket` turns its constants into enumerations and takes 5% of a start to load (125 to 119 ms of
processor time without it, median of 80 starts); `_socket` lacks only accepting and `with`.
Owns and relies on nothing else.  An object of `socket.socket` can be used in its place.
"""

from __future__ import annotations

import _socket
from types import TracebackType


class Socket(_socket.socket):
    """A socket that can be accepted on and that `with` closes."""

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

        :raises BlockingIOError: if none waits; other OSError if it cannot be accepted.
        """
        descriptor, address = self._accept()  # type: ignore[attr-defined]  # No stub has it.
        return Socket(self.family, self.type, self.proto, fileno=descriptor), address

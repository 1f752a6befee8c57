"""The TCP side of a target, as a process of its own: answers health checks.

After SIGUSR1 it is at its cap of connections: it resets each further one at once, as the targets of the
users' bench do ("servers reset connections that were over their cap").  Arguments: address and port.
"""

from __future__ import annotations

import signal
import socket
import struct
import sys

IS_OVER_CAP = [False]


def main(host: str, port: int) -> None:
    """Serve until killed."""
    signal.signal(signal.SIGUSR1, lambda number, frame: IS_OVER_CAP.__setitem__(0, True))
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(128)
    print("listening", flush=True)
    while True:
        stream, _ = listener.accept()
        if IS_OVER_CAP[0]:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            stream.close()
            continue
        stream.settimeout(0.2)
        try:
            if stream.recv(4096):
                stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except OSError:
            pass
        stream.close()


main(sys.argv[1], int(sys.argv[2]))

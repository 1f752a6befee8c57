"""A peer of the tested daemon."""

from __future__ import annotations

import socket

from runtime_daemon import SECRET

from sloepond.core import messages
from sloepond.wire.authentication import Authenticator, Key, KeyRing
from sloepond.wire.codec import encode_bundle, encode_message


class Peer:
    """Another balancer's socket and keys; used as a context manager."""

    def __init__(self, running, secret=SECRET, key_id=1):
        self.running = running
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        ring = KeyRing((Key(key_id, bytes.fromhex(secret)),))
        address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.authenticator = Authenticator(ring, "b2", 1, address)

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.socket.close()

    def send(self, message, copies=1):
        return self.send_encoded([encode_message(message)], copies)

    def send_encoded(self, messages, copies=1):
        """Send a datagram with encoded messages; return its size in bytes."""
        address = self.running.settings.peer_address
        datagram = self.authenticator.seal(encode_bundle(messages), address)
        host, port = address.split(":")
        for _ in range(copies):
            self.socket.sendto(datagram, (host, int(port)))
        return len(datagram)


OFFER = messages.ConfigurationOffered(3, "0123abcd")
REQUEST = messages.ConfigurationRequested(1, 3, 0)

"""The envelope of datagrams between balancers: the sender, a sequence number and an authentication tag.

Layout of a datagram, numbers big-endian::

    key id (1) | length of name (1) | name | incarnation (6) | sequence (5) | body | tag (16)

The tag is a keyed BLAKE2b hash of the source and destination address (each preceded by
its length) and of all bytes before the tag, so a datagram that is replayed from another
address or to another balancer is refused.
The body is authenticated, not encrypted.
"""

from __future__ import annotations

import hashlib
import hmac

import msgspec

from sloepond.wire.codec import MAXIMUM_MESSAGE_BYTES
from sloepond.wire.failures import (
    ENVELOPE_MALFORMED,
    KEY_UNKNOWN,
    SENDER_SELF,
    TAG_WRONG,
    AuthenticationFailure,
)
from sloepond.wire.replay import ReplayGuard

TAG_BYTES = 16
MINIMUM_SECRET_BYTES = 16
MAXIMUM_SECRET_BYTES = hashlib.blake2b.MAX_KEY_SIZE
MAXIMUM_KEY_ID = 255
MAXIMUM_KEYS = 2
MAXIMUM_NAME_BYTES = 63

_FIXED_BYTES = 2
_INCARNATION_BYTES = 6
_SEQUENCE_BYTES = 5
_NUMBERS_BYTES = _INCARNATION_BYTES + _SEQUENCE_BYTES
MAXIMUM_INCARNATION = 2 ** (8 * _INCARNATION_BYTES) - 1
MAXIMUM_SEQUENCE = 2 ** (8 * _SEQUENCE_BYTES) - 1
MAXIMUM_ENVELOPE_BYTES = _FIXED_BYTES + MAXIMUM_NAME_BYTES + _NUMBERS_BYTES + TAG_BYTES
MAXIMUM_DATAGRAM_BYTES = MAXIMUM_MESSAGE_BYTES + MAXIMUM_ENVELOPE_BYTES
_MINIMUM_DATAGRAM_BYTES = _FIXED_BYTES + 1 + _NUMBERS_BYTES + TAG_BYTES


class Key(msgspec.Struct, frozen=True):
    """A secret shared by all balancers.

    :ivar key_id: 0 to 255; named in each datagram.
    :ivar secret: 16 to 64 bytes.
    """

    key_id: int
    secret: bytes

    def __repr__(self) -> str:
        return f"Key(key_id={self.key_id})"


class KeyRing(msgspec.Struct, frozen=True):
    """Keys accepted at the same time, at most 2; the first one signs.

    To rotate: add the new key as the second one everywhere, then make it the first one everywhere,
    then remove the old one.
    """

    keys: tuple[Key, ...]


class OpenedDatagram(msgspec.Struct, frozen=True, gc=False):
    """An authenticated datagram.

    :ivar sender: name of the balancer that sealed it.
    :ivar body: the encoded bundle of messages.
    """

    sender: str
    incarnation: int
    body: bytes


class Authenticator:
    """Seals datagrams to peers and opens those from peers.

    :param keys: initial key ring.
    :param name: this balancer's name.
    :param incarnation: this process's incarnation, 0 to 2^48 - 1.
    :param own_address: this balancer's peer address `ip:port`.
    :raises ValueError: if the key ring, the name or the incarnation does not fit into the envelope; the
        settings are checked before.
    """

    def __init__(self, keys: KeyRing, name: str, incarnation: int, own_address: str) -> None:
        self._name = name
        self._own_address = _encode_address(own_address)
        self._sequence = 0
        self._guard = ReplayGuard()
        self._prefix = b""
        self._sender = _encode_sender(name, incarnation)
        self.replace_keys(keys)

    def replace_keys(self, keys: KeyRing) -> None:
        """Replace the key ring; the sequence number and the replay state are kept.

        :raises ValueError: if the ring holds no key or more than 2.
        """
        if not 1 <= len(keys.keys) <= MAXIMUM_KEYS:
            raise ValueError(f"a key ring must hold 1 to {MAXIMUM_KEYS} keys")
        self._hashes = {key.key_id: _keyed_hash(key) for key in keys.keys}
        signing_key = keys.keys[0]
        self._signing_hash = self._hashes[signing_key.key_id]
        self._prefix = bytes((signing_key.key_id,)) + self._sender

    def seal(self, body: bytes, recipient_address: str) -> bytes:
        """Return the datagram that carries `body` to a peer.

        :param recipient_address: the recipient's peer address `ip:port`, in the same notation as in its
            own settings.
        """
        self._sequence += 1
        signed = self._prefix + self._sequence.to_bytes(_SEQUENCE_BYTES, "big") + body
        return signed + _tag(
            self._signing_hash, signed, self._own_address + _encode_address(recipient_address)
        )

    def open(self, datagram: bytes, source_address: str) -> OpenedDatagram | AuthenticationFailure:
        """Return the content of a peer's datagram, or why it is refused.

        :param source_address: source address `ip:port` of the datagram.
        """
        size = len(datagram)
        if not _MINIMUM_DATAGRAM_BYTES <= size <= MAXIMUM_DATAGRAM_BYTES:
            return ENVELOPE_MALFORMED
        keyed_hash = self._hashes.get(datagram[0])
        if keyed_hash is None:
            return KEY_UNKNOWN
        signed = datagram[:-TAG_BYTES]
        tag = _tag(keyed_hash, signed, _encode_address(source_address) + self._own_address)
        if not hmac.compare_digest(tag, datagram[-TAG_BYTES:]):
            return TAG_WRONG
        return self._open_signed(signed)

    def _open_signed(self, signed: bytes) -> OpenedDatagram | AuthenticationFailure:
        numbers_start = _FIXED_BYTES + signed[1]
        sequence_start = numbers_start + _INCARNATION_BYTES
        body_start = sequence_start + _SEQUENCE_BYTES
        if len(signed) < body_start:
            return ENVELOPE_MALFORMED
        try:
            sender = signed[_FIXED_BYTES:numbers_start].decode()
        except UnicodeDecodeError:
            return ENVELOPE_MALFORMED
        if sender == self._name:
            return SENDER_SELF
        incarnation = int.from_bytes(signed[numbers_start:sequence_start], "big")
        sequence = int.from_bytes(signed[sequence_start:body_start], "big")
        failure = self._guard.check(sender, incarnation, sequence)
        if failure is not None:
            return failure
        return OpenedDatagram(sender, incarnation, signed[body_start:])


def _encode_sender(name: str, incarnation: int) -> bytes:
    """Return the length of the name, the name and the incarnation as bytes."""
    encoded = name.encode()
    if not 1 <= len(encoded) <= MAXIMUM_NAME_BYTES:
        raise ValueError(f"a name must have 1 to {MAXIMUM_NAME_BYTES} bytes")
    if not 0 <= incarnation <= MAXIMUM_INCARNATION:
        raise ValueError(f"an incarnation must be 0 to {MAXIMUM_INCARNATION}")
    return bytes((len(encoded),)) + encoded + incarnation.to_bytes(_INCARNATION_BYTES, "big")


def _encode_address(address: str) -> bytes:
    encoded = address.encode()
    return len(encoded).to_bytes(2, "big") + encoded


def _keyed_hash(key: Key) -> hashlib.blake2b:
    return hashlib.blake2b(key=key.secret, digest_size=TAG_BYTES)


def _tag(keyed_hash: hashlib.blake2b, signed: bytes, addresses: bytes) -> bytes:
    tag = keyed_hash.copy()
    tag.update(addresses)
    tag.update(signed)
    return tag.digest()

"""Settings of the daemon; the file is TOML and its tables mirror these structs.

`runtime.unread_settings` adds what a file may hold besides.
"""

from __future__ import annotations

import enum

import msgspec

from sloepond.core.settings import NodeSettings
from sloepond.resources.model import Location


class LogLevel(enum.StrEnum):
    """Least severe log lines written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(enum.StrEnum):
    """How log lines are written to standard error."""

    TEXT = "text"
    JSON = "json"


class KeySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A key shared by all balancers.

    :ivar id: 0 to 255, different for each key.
    :ivar secret: 16 to 64 bytes as hexadecimal digits.
    """

    id: int
    secret: str

    def __repr__(self) -> str:
        return f"KeySettings(id={self.id})"


class ApiSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' API.

    :ivar tls_certificate: path of the certificate chain, empty for plain HTTP.
    :ivar tls_key: path of the private key.
    :ivar read_tokens: bearer tokens that may read.
    :ivar write_tokens: bearer tokens that may also change state.
    :ivar body_limit_bytes: largest request body taken, in bytes.
    :ivar watch_limit: watches served at the same time.
    """

    tls_certificate: str = ""
    tls_key: str = ""
    read_tokens: tuple[str, ...] = ()
    write_tokens: tuple[str, ...] = ()
    body_limit_bytes: int = 1_048_576
    watch_limit: int = 64

    def __repr__(self) -> str:
        return f"ApiSettings(tls_certificate={self.tls_certificate!r})"


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Log lines, written to standard error."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.TEXT


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's read-only service.

    :ivar url: base URL, `http://` or `https://`; empty where there is none and
        the configuration only comes from peers.
    :ivar token: bearer token sent, empty for none.
    :ivar ca_file: path of certificates trusted besides the system's.
    :ivar timeout_s: seconds until a read fails.
    :ivar body_limit_bytes: largest answer taken, in bytes.
    """

    url: str = ""
    token: str = ""
    ca_file: str = ""
    timeout_s: float = 3.0
    body_limit_bytes: int = 33_554_432

    def __repr__(self) -> str:
        return f"PlatformSettings(url={self.url!r})"


class BalancerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything one balancer is told at its start.

    :ivar name: unique among live balancers.
    :ivar location: where this machine stands.
    :ivar edge_address: `ip:port` that takes callers' packets from the fabric.
    :ivar backend_address: `ip:port` that talks to back ends.
    :ivar peer_address: `ip:port` that talks to other balancers, written as they
        write it.
    :ivar api_address: `ip:port` of the operators' API, empty for none.
    :ivar fabric_address: `ip:port` replies to callers go to; empty sends them to
        the caller's own address.
    :ivar keys: one key, or two during rotation; the first one signs.
    """

    name: str
    location: Location
    edge_address: str
    backend_address: str
    peer_address: str
    keys: tuple[KeySettings, ...]
    api_address: str = ""
    fabric_address: str = ""
    platform: PlatformSettings = PlatformSettings()
    api: ApiSettings = ApiSettings()
    log: LogSettings = LogSettings()
    node: NodeSettings = NodeSettings()

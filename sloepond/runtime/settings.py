"""Settings of the daemon; the file is TOML and its tables mirror these structs.

`runtime.unread_settings` adds the settings that a file may contain but that have no effect.
"""

from __future__ import annotations

import enum

import msgspec

from sloepond.core.settings import NodeSettings
from sloepond.resources.model import Location


class LogLevel(enum.StrEnum):
    """Minimum severity of written log lines."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(enum.StrEnum):
    """Format of the log lines on standard error."""

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
    :ivar body_limit_bytes: largest accepted request body, in bytes.
    :ivar watch_limit: maximum number of concurrent watches.
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

    :ivar url: base URL, `http://` or `https://`; empty for none, when the configuration comes only from
        peers.
    :ivar token: bearer token that is sent, empty for none.
    :ivar ca_file: path of certificates that are trusted in addition to the system's.
    :ivar timeout_s: timeout of a read, in seconds.
    :ivar body_limit_bytes: largest accepted response body, in bytes.
    """

    url: str = ""
    token: str = ""
    ca_file: str = ""
    timeout_s: float = 3.0
    body_limit_bytes: int = 33_554_432

    def __repr__(self) -> str:
        return f"PlatformSettings(url={self.url!r})"


class BalancerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one balancer.

    :ivar name: unique among live balancers.
    :ivar location: location of this machine.
    :ivar edge_address: `ip:port` that receives callers' packets from the fabric.
    :ivar backend_address: `ip:port` for traffic with back ends.
    :ivar peer_address: `ip:port` for traffic with other balancers, in the same notation as in their
        settings.
    :ivar api_address: `ip:port` of the operators' API, empty for none.
    :ivar fabric_address: `ip:port` that receives replies to callers; if empty, they are sent to the
        caller's own address.
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

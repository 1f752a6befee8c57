"""Shared parts of commands that change declared state: access by options, report of the result."""

from __future__ import annotations

from sloepond.cli.balancer_access import BalancerAccess
from sloepond.cli.configuration_update import ConfigurationUpdate, wait_for_update
from sloepond.cli.endpoints import (
    ApiUrls,
    resolve_api,
    resolve_ca_file,
    resolve_platform,
    resolve_platform_token,
    resolve_token,
)
from sloepond.cli.exit_codes import OK
from sloepond.cli.failures import CommandFailure, report_failure
from sloepond.cli.http_access import HttpAccess, open_http
from sloepond.cli.platform_access import PlatformAccess


def open_platform(option: str | None) -> PlatformAccess | CommandFailure:
    """Return access to the platform given by the option or else the environment."""
    url = resolve_platform(option)
    if isinstance(url, CommandFailure):
        return url
    http = open_http(url, resolve_platform_token(), resolve_ca_file())
    return http if isinstance(http, CommandFailure) else PlatformAccess(http)


def open_balancers(option: ApiUrls | None, token: str | None) -> BalancerAccess | CommandFailure:
    """Return access to the balancers given by the option or else the environment."""
    urls = resolve_api(option)
    if isinstance(urls, CommandFailure):
        return urls
    servers: list[HttpAccess] = []
    for url in urls:
        http = open_http(url, resolve_token(token), resolve_ca_file())
        if isinstance(http, CommandFailure):
            return http
        servers.append(http)
    return BalancerAccess(servers)


def report_update(
    update: ConfigurationUpdate | CommandFailure, balancers: BalancerAccess | None, timeout_s: float
) -> int:
    """Print the result of a write and return the exit code.

    :param balancers: if given, wait until the update is in force on all of them.
    """
    if isinstance(update, CommandFailure):
        return report_failure(update)
    print(update)
    if balancers is None:
        return OK
    result = wait_for_update(balancers, update, timeout_s)
    if isinstance(result, CommandFailure):
        return report_failure(result)
    print(result)
    return OK

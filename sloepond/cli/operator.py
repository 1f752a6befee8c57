"""The operators' commands on declared and present state."""

from __future__ import annotations

from pathlib import Path

import msgspec

from sloepond import __version__
from sloepond.cli.balancer_access import BalancerAccess
from sloepond.cli.configuration_update import (
    ConfigurationUpdate,
    drain_backend,
    load_declared,
    replace_configuration,
    wait_for_update,
)
from sloepond.cli.endpoints import (
    ApiUrls,
    resolve_api,
    resolve_ca_file,
    resolve_platform,
    resolve_platform_token,
    resolve_token,
)
from sloepond.cli.exit_codes import BAD_INPUT, OK, REFUSED, UNREACHABLE
from sloepond.cli.failures import CommandFailure, report_failure
from sloepond.cli.fleet import combine
from sloepond.cli.http_access import HttpAccess, open_http
from sloepond.cli.platform_access import PlatformAccess
from sloepond.cli.rendering import OutputFormat, print_findings, print_fleet, print_resources
from sloepond.resources.model import Kind, Resource

DEFAULT_TIMEOUT_S = 30.0
ALL_KINDS = "all"


def check(*files: Path, output: OutputFormat = OutputFormat.table) -> int:
    """Check resource files; print every finding with its place.

    :param files: YAML or JSON files, or directories of them, taken as one set
    :param output: table prints findings as lines to standard error; json and yaml to standard output
    """
    resources = load_declared(files)
    findings = resources.findings if isinstance(resources, CommandFailure) else ()
    if output is not OutputFormat.table:
        print_findings(findings, output)
    if isinstance(resources, CommandFailure):
        return report_failure(resources, list_findings=output is OutputFormat.table)
    if output is OutputFormat.table:
        print(f"{len(resources)} resources, no findings")
    return OK


def apply(
    *files: Path,
    platform: str | None = None,
    wait: bool = False,
    timeout: float = DEFAULT_TIMEOUT_S,
    api: ApiUrls | None = None,
    token: str | None = None,
) -> int:
    """Check resource files and make them the platform's whole configuration.

    Resources that are not in the files are removed.  Nothing is written where
    there are findings, or where somebody else writes at the same time.

    :param files: YAML or JSON files, or directories of them, taken as one set
    :param platform: URL of the platform (environment: SLOEPOND_PLATFORM)
    :param wait: wait until the generation is in force on every live balancer
    :param timeout: seconds to wait before exit code 3
    :param api: URL of a balancer's API, repeatable; one of each cell at least (environment: SLOEPOND_API)
    :param token: bearer token of the balancers' API (environment: SLOEPOND_TOKEN)
    """
    resources = load_declared(files)
    if isinstance(resources, CommandFailure):
        return report_failure(resources)
    balancers = _open_balancers(api, token) if wait else None
    if isinstance(balancers, CommandFailure):
        return report_failure(balancers)
    access = _open_platform(platform)
    if isinstance(access, CommandFailure):
        return report_failure(access)
    update = replace_configuration(access, resources)
    return _finish(update, balancers, timeout)


def get(
    kind: str,
    name: str | None = None,
    *,
    output: OutputFormat = OutputFormat.table,
    api: ApiUrls | None = None,
    token: str | None = None,
) -> int:
    """Print resources in force, as a balancer has them.

    :param kind: region, zone, hall, service, backend or all
    :param name: name of one resource
    :param output: table, json or yaml
    :param api: URL of a balancer's API, repeatable, the first answer counts (environment: SLOEPOND_API)
    :param token: bearer token of the balancers' API (environment: SLOEPOND_TOKEN)
    """
    selected = _parse_kind(kind)
    if isinstance(selected, CommandFailure):
        return report_failure(selected)
    balancers = _open_balancers(api, token)
    if isinstance(balancers, CommandFailure):
        return report_failure(balancers)
    resources = _read_in_force(balancers, selected, name)
    if isinstance(resources, CommandFailure):
        return report_failure(resources)
    print_resources(resources, output)
    return OK


def watch(
    kind: str = ALL_KINDS, *, since: int = 0, api: ApiUrls | None = None, token: str | None = None
) -> int:
    """Print changes of the resources in force, as JSON lines, until interrupted.

    :param kind: region, zone, hall, service, backend or all
    :param since: generation to start after
    :param api: URL of a balancer's API (environment: SLOEPOND_API)
    :param token: bearer token of the balancers' API (environment: SLOEPOND_TOKEN)
    """
    selected = _parse_kind(kind)
    if isinstance(selected, CommandFailure):
        return report_failure(selected)
    balancers = _open_balancers(api, token)
    if isinstance(balancers, CommandFailure):
        return report_failure(balancers)
    for event in balancers.watch(selected, since):
        if isinstance(event, CommandFailure):
            return report_failure(event)
        print(msgspec.json.encode(event).decode(), flush=True)
    return report_failure(CommandFailure(REFUSED, "the watch has ended; get the resources and watch again"))


def status(
    *, output: OutputFormat = OutputFormat.table, api: ApiUrls | None = None, token: str | None = None
) -> int:
    """Print the fleet: state, lease, epoch, generation in force and flows of each balancer.

    :param output: table, json or yaml
    :param api: URL of a balancer's API, repeatable; one of each cell at least (environment: SLOEPOND_API)
    :param token: bearer token of the balancers' API (environment: SLOEPOND_TOKEN)
    """
    balancers = _open_balancers(api, token)
    if isinstance(balancers, CommandFailure):
        return report_failure(balancers)
    answer = balancers.statuses()
    for failure in answer.failures:
        report_failure(failure)
    if not answer.statuses:
        return UNREACHABLE
    print_fleet(combine(answer.statuses), output)
    return OK


def drain(
    backend: str,
    *,
    platform: str | None = None,
    wait: bool = False,
    timeout: float = DEFAULT_TIMEOUT_S,
    api: ApiUrls | None = None,
    token: str | None = None,
) -> int:
    """Set a back end's state to draining in the platform's configuration.

    It gets no new flows; its established flows go on.  Files in version control
    are not changed: a later `apply` of them sets the state they declare.

    :param backend: name of the back end
    :param platform: URL of the platform (environment: SLOEPOND_PLATFORM)
    :param wait: wait until the generation is in force on every live balancer
    :param timeout: seconds to wait before exit code 3
    :param api: URL of a balancer's API, repeatable; one of each cell at least (environment: SLOEPOND_API)
    :param token: bearer token of the balancers' API (environment: SLOEPOND_TOKEN)
    """
    balancers = _open_balancers(api, token) if wait else None
    if isinstance(balancers, CommandFailure):
        return report_failure(balancers)
    access = _open_platform(platform)
    if isinstance(access, CommandFailure):
        return report_failure(access)
    update = drain_backend(access, backend)
    return _finish(update, balancers, timeout)


def version() -> int:
    """Print the version."""
    print(f"sloepond {__version__}")
    return OK


def _open_platform(option: str | None) -> PlatformAccess | CommandFailure:
    url = resolve_platform(option)
    if isinstance(url, CommandFailure):
        return url
    http = open_http(url, resolve_platform_token(), resolve_ca_file())
    return http if isinstance(http, CommandFailure) else PlatformAccess(http)


def _open_balancers(option: ApiUrls | None, token: str | None) -> BalancerAccess | CommandFailure:
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


def _parse_kind(text: str) -> Kind | None | CommandFailure:
    """Return the kind meant by `backend`, `backends` or `Backend`; None for all."""
    lowered = text.lower()
    if lowered == ALL_KINDS:
        return None
    for kind in Kind:
        if lowered in (kind.lower(), f"{kind.lower()}s"):
            return kind
    known = ", ".join(kind.lower() for kind in Kind)
    return CommandFailure(BAD_INPUT, f"unknown kind {text!r}: write one of {known}, {ALL_KINDS}")


def _read_in_force(
    balancers: BalancerAccess, kind: Kind | None, name: str | None
) -> tuple[Resource, ...] | CommandFailure:
    if name is None:
        listed = balancers.resources(kind)
        return listed if isinstance(listed, CommandFailure) else listed.resources
    if kind is None:
        return CommandFailure(BAD_INPUT, "a name needs one kind")
    resource = balancers.resource(kind, name)
    return resource if isinstance(resource, CommandFailure) else (resource,)


def _finish(
    update: ConfigurationUpdate | CommandFailure, balancers: BalancerAccess | None, timeout_s: float
) -> int:
    """Print what was written and, where balancers are given, wait for it."""
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

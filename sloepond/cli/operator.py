"""The operators' commands for declared resources and the state of the fleet."""

from __future__ import annotations

from pathlib import Path

import msgspec

from sloepond import __version__
from sloepond.cli.access_options import open_balancers, open_platform, report_update
from sloepond.cli.balancer_access import BalancerAccess
from sloepond.cli.configuration_update import (
    load_declared,
    replace_configuration,
)
from sloepond.cli.endpoints import (
    ApiUrls,
)
from sloepond.cli.exit_codes import BAD_INPUT, OK, REFUSED, UNREACHABLE
from sloepond.cli.failures import CommandFailure, report_failure
from sloepond.cli.fleet import combine_statuses
from sloepond.cli.rendering import OutputFormat, print_findings, print_fleet, print_resources
from sloepond.resources.model import Kind, Resource

DEFAULT_TIMEOUT_S = 30.0
ALL_KINDS = "all"


def check(*files: Path, output: OutputFormat = OutputFormat.table) -> int:
    """Validate resource files; print every finding with its position.

    :param files: YAML or JSON files, or directories of them, validated as one set
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
    """Validate resource files and replace the platform's whole configuration with them.

    Resources that are not in the files are removed.  Nothing is written if there
    are findings, or if another operator writes at the same time.

    :param files: YAML or JSON files, or directories of them, applied as one set
    :param platform: URL of the platform (environment: SLOEPOND_PLATFORM)
    :param wait: wait until the generation is in force on every live balancer
    :param timeout: seconds to wait before exit code 3
    :param api: URL of a balancer's API, repeatable; at least one in each cell (environment: SLOEPOND_API)
    :param token: bearer token of the balancers' API (environment: SLOEPOND_TOKEN)
    """
    resources = load_declared(files)
    if isinstance(resources, CommandFailure):
        return report_failure(resources)
    balancers = open_balancers(api, token) if wait else None
    if isinstance(balancers, CommandFailure):
        return report_failure(balancers)
    access = open_platform(platform)
    if isinstance(access, CommandFailure):
        return report_failure(access)
    update = replace_configuration(access, resources)
    return report_update(update, balancers, timeout)


def get(
    kind: str,
    name: str | None = None,
    *,
    output: OutputFormat = OutputFormat.table,
    api: ApiUrls | None = None,
    token: str | None = None,
) -> int:
    """Print resources in force on a balancer.

    :param kind: region, zone, hall, service, backend or all
    :param name: name of one resource
    :param output: table, json or yaml
    :param api: URL of a balancer's API, repeatable; the first answer is printed (environment: SLOEPOND_API)
    :param token: bearer token of the balancers' API (environment: SLOEPOND_TOKEN)
    """
    selected = _parse_kind(kind)
    if isinstance(selected, CommandFailure):
        return report_failure(selected)
    balancers = open_balancers(api, token)
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
    balancers = open_balancers(api, token)
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
    :param api: URL of a balancer's API, repeatable; at least one in each cell (environment: SLOEPOND_API)
    :param token: bearer token of the balancers' API (environment: SLOEPOND_TOKEN)
    """
    balancers = open_balancers(api, token)
    if isinstance(balancers, CommandFailure):
        return report_failure(balancers)
    answer = balancers.statuses()
    for failure in answer.failures:
        report_failure(failure)
    if not answer.statuses:
        return UNREACHABLE
    print_fleet(combine_statuses(answer.statuses), output)
    return OK


def version() -> int:
    """Print the version."""
    print(f"sloepond {__version__}")
    return OK


def _parse_kind(text: str) -> Kind | None | CommandFailure:
    """Return the kind given as `backend`, `backends` or `Backend`, for instance; None for all."""
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

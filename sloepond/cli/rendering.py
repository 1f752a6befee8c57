"""Prints resources, the fleet and findings to standard output as tables, JSON or YAML."""

from __future__ import annotations

import enum
from collections.abc import Sequence

import msgspec
import yaml
from rich.console import Console
from rich.table import Table

from sloepond.cli.fleet import BalancerReport
from sloepond.resources.declarations import KIND_FIELD
from sloepond.resources.findings import Finding
from sloepond.resources.model import (
    Backend,
    Hall,
    Kind,
    PlaceSelector,
    Resource,
    Service,
    Zone,
)

WIDTH_WITHOUT_TERMINAL = 240
EMPTY_CELL = "-"

COLUMNS: dict[Kind, tuple[str, ...]] = {
    Kind.REGION: ("region",),
    Kind.ZONE: ("zone", "region", "state"),
    Kind.HALL: ("hall", "zone"),
    Kind.SERVICE: ("service", "address", "permitted", "denied", "repeatable"),
    Kind.BACKEND: ("back end", "service", "hall", "address", "slots", "connections", "weight", "state"),
}
STATUS_COLUMNS = ("generation", "status")
FLEET_COLUMNS = ("balancer", "state", "lease", "epoch", "generation", "flows", "control B/s", "heard from")


class OutputFormat(enum.Enum):
    """Format of printed results."""

    table = "table"
    json = "json"
    yaml = "yaml"


def print_resources(resources: Sequence[Resource], output: OutputFormat) -> None:
    """Print resources; as tables, one for each kind."""
    if output is OutputFormat.table:
        _print_resource_tables(resources)
        return
    values = [_with_defaults(resource) for resource in resources]
    if output is OutputFormat.json:
        print_json({"resources": values})
    else:
        print(yaml.safe_dump_all(values, sort_keys=False), end="")


def _with_defaults(value: object) -> object:
    """Return a resource, or a part of one, as plain values including all defaults."""
    if isinstance(value, msgspec.Struct):
        fields = msgspec.structs.fields(value)
        plain = {field.encode_name: _with_defaults(getattr(value, field.name)) for field in fields}
        set_fields = {name: item for name, item in plain.items() if item is not None}
        return {KIND_FIELD: type(value).__name__} | set_fields if isinstance(value, Resource) else set_fields
    if isinstance(value, tuple):
        return [_with_defaults(item) for item in value]
    return str(value) if isinstance(value, enum.StrEnum) else value


def print_fleet(reports: Sequence[BalancerReport], output: OutputFormat) -> None:
    """Print one line for each balancer."""
    if output is OutputFormat.table:
        print_table(FLEET_COLUMNS, [_fleet_cells(report) for report in reports])
        return
    values = [msgspec.to_builtins(report) for report in reports]
    if output is OutputFormat.json:
        print_json({"balancers": values})
    else:
        print(yaml.safe_dump({"balancers": values}, sort_keys=False), end="")


def print_findings(findings: Sequence[Finding], output: OutputFormat) -> None:
    """Print findings as JSON or YAML."""
    values = [msgspec.structs.asdict(finding) for finding in findings]
    if output is OutputFormat.json:
        print_json({"findings": values})
    else:
        print(yaml.safe_dump({"findings": values}, sort_keys=False), end="")


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def print_table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print a table without borders."""
    table = Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column, no_wrap=True)
    for row in rows:
        table.add_row(*row)
    console = Console(markup=False, highlight=False)
    if not console.is_terminal:
        console.width = WIDTH_WITHOUT_TERMINAL
    console.print(table)


def _print_resource_tables(resources: Sequence[Resource]) -> None:
    rows: dict[Kind, list[tuple[str, ...]]] = {}
    for resource in resources:
        kind = Kind(type(resource).__name__)
        status = resource.status
        cells = (*_resource_cells(resource), str(status.generation), status.message)
        rows.setdefault(kind, []).append(cells)
    for index, kind in enumerate(kind for kind in Kind if kind in rows):
        if index:
            print()
        print_table((*COLUMNS[kind], *STATUS_COLUMNS), rows[kind])


def _resource_cells(resource: Resource) -> tuple[str, ...]:
    name = resource.metadata.name
    match resource:
        case Zone(spec=spec):
            return (name, spec.region, str(spec.state))
        case Hall(spec=spec):
            return (name, spec.zone)
        case Service():
            return _service_cells(resource)
        case Backend():
            return _backend_cells(resource)
        case _:
            return (name,)


def _service_cells(service: Service) -> tuple[str, ...]:
    spec = service.spec
    repeatable = "yes" if spec.repeatable_by_default else "no"
    return (service.metadata.name, spec.address, _places(spec.permitted), _places(spec.denied), repeatable)


def _backend_cells(backend: Backend) -> tuple[str, ...]:
    spec = backend.spec
    numbers = (str(spec.slots), str(spec.connections), str(spec.weight))
    return (backend.metadata.name, spec.service, spec.hall, spec.address, *numbers, str(spec.state))


def _places(selectors: Sequence[PlaceSelector]) -> str:
    texts = []
    for selector in selectors:
        fields = (("region", selector.region), ("zone", selector.zone), ("hall", selector.hall))
        named = [f"{field}={value}" for field, value in fields if value is not None]
        texts.append("+".join(named) or "everywhere")
    return ", ".join(texts) or EMPTY_CELL


def _fleet_cells(report: BalancerReport) -> tuple[str, ...]:
    lease = EMPTY_CELL if report.has_lease is None else "yes" if report.has_lease else "no"
    state = f"{report.state} (suspected)" if report.suspected else report.state
    numbers = (str(report.epoch), str(report.generation), str(report.flows))
    rate = report.control_bytes_per_second
    control = EMPTY_CELL if rate is None else f"{rate:.0f}"
    return (report.name, state, lease, *numbers, control, report.heard_from)

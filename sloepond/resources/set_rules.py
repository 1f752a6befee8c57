"""Validation rules for a whole set of declarations: names, references, addresses, reachability.

Each rule reports an error that involves several documents: a duplicate name, a dangling
reference, a duplicate address, a service that no flow can reach.  Relies on
`resources.declarations` for the valid parts of each document; an invalid document does not
suppress findings about others.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from sloepond.resources.addresses import AddressFailure, canonical_address
from sloepond.resources.compiled_items import is_place_permitted
from sloepond.resources.declarations import NAME_PATH, Declaration
from sloepond.resources.field_rules import ADDRESS_PATH, ADDRESSED_KINDS
from sloepond.resources.findings import FieldPath, Finding, show_value
from sloepond.resources.locations import resolve_locations
from sloepond.resources.model import (
    Backend,
    BackendState,
    Kind,
    Location,
    Resource,
    Service,
)

SERVICE_PATH: FieldPath = ("spec", "service")
ZONE_REGION_PATH: FieldPath = ("spec", "region")
HALL_ZONE_PATH: FieldPath = ("spec", "zone")
PERMITTED_PATH: FieldPath = ("spec", "permitted")
DENIED_PATH: FieldPath = ("spec", "denied")

REFERENCES: dict[Kind, dict[FieldPath, Kind]] = {
    Kind.ZONE: {ZONE_REGION_PATH: Kind.REGION},
    Kind.HALL: {HALL_ZONE_PATH: Kind.ZONE},
    Kind.BACKEND: {SERVICE_PATH: Kind.SERVICE, ("spec", "hall"): Kind.HALL},
}
"""Fields that refer to another resource, and the kind of that resource."""

SELECTOR_KINDS = {"region": Kind.REGION, "zone": Kind.ZONE, "hall": Kind.HALL}


class DeclaredSet:
    """All declarations, indexed by kind and name.

    :ivar by_name: the first declaration of each kind and name.
    """

    def __init__(self, declarations: Sequence[Declaration]) -> None:
        self.declarations = declarations
        self.by_name: dict[tuple[Kind, str], Declaration] = {}
        for declaration in declarations:
            if declaration.kind is not None and declaration.name:
                self.by_name.setdefault((declaration.kind, declaration.name), declaration)

    def resources(self) -> tuple[Resource, ...]:
        """Return the resources that are valid by themselves."""
        found = (declaration.resource for declaration in self.declarations)
        return tuple(resource for resource in found if resource is not None)

    def has(self, kind: Kind, name: str) -> bool:
        """Return whether a resource of this kind and name is declared, valid or not."""
        return (kind, name) in self.by_name

    def parent(self, kind: Kind, name: str, path: FieldPath) -> str:
        """Return the name that the given resource refers to at `path`; empty if unknown."""
        declaration = self.by_name.get((kind, name))
        return declaration.text(path) if declaration else ""


def check_set(declared: DeclaredSet) -> Iterator[Finding]:
    """Yield the findings about the set as a whole."""
    yield from _check_duplicates(declared)
    yield from _check_references(declared)
    yield from _check_selectors(declared)
    yield from _check_addresses(declared)
    yield from _check_reachability(declared)


def _check_duplicates(declared: DeclaredSet) -> Iterator[Finding]:
    for declaration in declared.declarations:
        if declaration.kind is None or not declaration.name:
            continue
        first = declared.by_name[(declaration.kind, declaration.name)]
        if first is not declaration:
            yield declaration.finding(NAME_PATH, f"name declared before, in {_position(first, NAME_PATH)}")


def _check_references(declared: DeclaredSet) -> Iterator[Finding]:
    for declaration in declared.declarations:
        if declaration.kind is None:
            continue
        for path, kind in REFERENCES.get(declaration.kind, {}).items():
            name = declaration.fields.get(path)
            if isinstance(name, str) and not declared.has(kind, name):
                yield declaration.finding(path, f"{kind} {show_value(name)} is not declared")


def _check_selectors(declared: DeclaredSet) -> Iterator[Finding]:
    for declaration in declared.declarations:
        if declaration.kind is not Kind.SERVICE:
            continue
        selectors: dict[FieldPath, dict[str, str]] = {}
        for path, value in declaration.fields.items():
            if path[:2] in (PERMITTED_PATH, DENIED_PATH) and isinstance(value, str):
                selectors.setdefault(path[:3], {})[str(path[3])] = value
        for path, selector in selectors.items():
            yield from _check_selector(declared, declaration, path, selector)


def _check_selector(
    declared: DeclaredSet,
    declaration: Declaration,
    path: FieldPath,
    selector: dict[str, str],
) -> Iterator[Finding]:
    for field, name in selector.items():
        kind = SELECTOR_KINDS[field]
        if not declared.has(kind, name):
            yield declaration.finding((*path, field), f"{kind} {show_value(name)} is not declared")
    zone = selector.get("zone", "")
    if "hall" in selector:
        hall_zone = declared.parent(Kind.HALL, selector["hall"], HALL_ZONE_PATH)
        if zone and hall_zone and zone != hall_zone:
            yield declaration.finding(
                (*path, "zone"), f"selects no place: the hall is in zone {show_value(hall_zone)}"
            )
        zone = hall_zone
    region = declared.parent(Kind.ZONE, zone, ZONE_REGION_PATH)
    if region and selector.get("region", region) != region:
        yield declaration.finding(
            (*path, "region"), f"selects no place: the zone is in region {show_value(region)}"
        )


def _check_addresses(declared: DeclaredSet) -> Iterator[Finding]:
    """Report duplicate addresses: a packet to one would have two possible destinations."""
    first_users: dict[str, Declaration] = {}
    for declaration in declared.declarations:
        if declaration.kind not in ADDRESSED_KINDS:
            continue
        address = canonical_address(declaration.text(ADDRESS_PATH))
        if isinstance(address, AddressFailure):
            continue
        first = first_users.setdefault(address, declaration)
        if first is not declaration:
            reason = f"address {address!r} is used by {first.label}, in {_position(first, ADDRESS_PATH)}"
            yield declaration.finding(ADDRESS_PATH, reason)


def _check_reachability(declared: DeclaredSet) -> Iterator[Finding]:
    """Report services that no flow can reach: no back end in a permitted place accepts flows."""
    locations = resolve_locations(declared.resources())
    backends = _BackendsByService(declared)
    for declaration in declared.declarations:
        service = declaration.resource
        if not isinstance(service, Service) or backends.has_invalid_backend(service.metadata.name):
            continue
        reason = _unreachable_reason(service, backends.of(service.metadata.name), locations)
        if reason:
            yield declaration.finding(PERMITTED_PATH, reason)


class _BackendsByService:
    """The valid back ends of each service, and the services with an invalid one."""

    def __init__(self, declared: DeclaredSet) -> None:
        self._backends: dict[str, list[Backend]] = {}
        self._services_with_invalid_backend: set[str] = set()
        for declaration in declared.declarations:
            if declaration.kind is not Kind.BACKEND:
                continue
            service = declaration.text(SERVICE_PATH)
            if isinstance(declaration.resource, Backend):
                self._backends.setdefault(service, []).append(declaration.resource)
            else:
                self._services_with_invalid_backend.add(service)

    def of(self, service: str) -> list[Backend]:
        """Return the back ends of `service` that are valid by themselves."""
        return self._backends.get(service, [])

    def has_invalid_backend(self, service: str) -> bool:
        """Return whether an invalid back end belongs, or may belong, to `service`."""
        return service in self._services_with_invalid_backend or "" in self._services_with_invalid_backend


def _unreachable_reason(service: Service, backends: list[Backend], locations: dict[str, Location]) -> str:
    if not service.spec.permitted:
        return "unreachable: no place is permitted"
    if not backends:
        return "unreachable: no back end is declared"
    if any(backend.spec.hall not in locations for backend in backends):
        return ""  # The dangling reference is a finding of its own.
    permitted = [
        backend for backend in backends if is_place_permitted(service.spec, locations[backend.spec.hall])
    ]
    if not permitted:
        return "unreachable: no back end is in a permitted place"
    if not any(_accepts_flows(backend) for backend in permitted):
        return "unreachable: every back end in a permitted place is draining or has weight 0"
    return ""


def _accepts_flows(backend: Backend) -> bool:
    return backend.spec.state is BackendState.ACTIVE and backend.spec.weight > 0


def _position(declaration: Declaration, path: FieldPath) -> str:
    document = declaration.document
    line = document.line(path)
    return f"{document.file}:{line}" if line else f"{document.file} document {document.index}"

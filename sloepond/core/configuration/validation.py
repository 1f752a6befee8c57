"""Checks a snapshot as a whole before it may be put in force."""

from __future__ import annotations

import bisect
from collections.abc import Sequence

from sloepond.core.configuration.delta import ConfigurationDelta
from sloepond.resources.compiled import (
    CompiledConfiguration,
    CompiledService,
    ResourceKey,
    find_resource,
    is_place_permitted,
    resolve_locations,
    resource_key,
)
from sloepond.resources.findings import Finding
from sloepond.resources.model import (
    Backend,
    BackendSpec,
    BackendState,
    Kind,
    Location,
    Resource,
    Service,
    ServiceSpec,
)
from sloepond.resources.validation import validate_snapshot

BATCH_BACKENDS = 2_000
"""Back ends of a first snapshot checked at a time."""
MAXIMUM_REPORTED = 10
"""Back ends looked at for one fault that many may share."""
_BACKEND_KIND = Kind.BACKEND.value
_AFTER_BACKENDS = ResourceKey(_BACKEND_KIND + "\0", "")
"""Sorts after every back end and before all other kinds."""


def is_sorted(resources: Sequence[Resource]) -> bool:
    """Return whether the resources are sorted by key, each key once."""
    previous: ResourceKey | None = None
    for resource in resources:
        key = resource_key(resource)
        if previous is not None and key <= previous:
            return False
        previous = key
    return True


def findings_after(
    base: CompiledConfiguration, delta: ConfigurationDelta, resources: Sequence[Resource]
) -> tuple[Finding, ...]:
    """Return what is wrong with the resources that a delta leads to.

    After the first generation the check is limited to those resources that can
    have a finding because of the change; the others were checked with the base.
    There is a finding if and only if a check of all resources has one.

    :param base: configuration the delta applies to, valid as a whole.
    :param resources: all resources after the change, sorted by key.
    """
    if base.generation == 0:
        return findings_in_batches(resources, BATCH_BACKENDS)
    return validate_snapshot(_affected_resources(base, delta, resources))


def findings_in_batches(resources: Sequence[Resource], batch: int) -> tuple[Finding, ...]:
    """Return what is wrong with the resources, with bounded memory.

    Back ends are checked a batch at a time, each batch together with all other
    kinds and with those back ends whose findings depend on other back ends.

    :param resources: sorted by key.
    :param batch: back ends checked at a time.
    """
    others = _without_backends(resources)
    backends = resources[: len(resources) - len(others)]
    if len(backends) <= batch:
        return validate_snapshot(resources)
    names = {*_scan(resources, others), *_address_sharers(resources)}
    shared = [resource for resource in backends if resource.metadata.name in names]
    rest = [resource for resource in backends if resource.metadata.name not in names]
    findings: set[Finding] = set()
    for start in range(0, max(len(rest), 1), batch):
        findings.update(validate_snapshot((*others, *shared, *rest[start : start + batch])))
    return tuple(sorted(findings))


def _without_backends(resources: Sequence[Resource]) -> Sequence[Resource]:
    return resources[bisect.bisect_left(resources, _AFTER_BACKENDS, key=resource_key) :]


def _address_sharers(resources: Sequence[Resource]) -> set[str]:
    """Return the back ends that use an address of another back end or a service."""
    users: dict[str, list[Resource]] = {}
    for resource in resources:
        if isinstance(resource, Backend | Service):
            users.setdefault(resource.spec.address, []).append(resource)
    return {
        user.metadata.name
        for sharers in users.values()
        for user in sharers[:MAXIMUM_REPORTED]
        if len(sharers) > 1 and isinstance(user, Backend)
    }


def _affected_resources(
    base: CompiledConfiguration, delta: ConfigurationDelta, resources: Sequence[Resource]
) -> tuple[Resource, ...]:
    """Return all resources but the back ends whose findings cannot have changed.

    Kept are the changed back ends, unchanged ones that use an address of what
    changed or name something that is gone, and one back end of each service that
    shows that the service is reachable.
    """
    others = _without_backends(resources)
    replaced = {resource.metadata.name for resource in delta.changed if isinstance(resource, Backend)}
    replaced.update(key.name for key in delta.removed if key.kind == _BACKEND_KIND)
    names = _address_holders(base, delta)
    if _only_backends(delta):
        names.update(_witness(service, replaced) for service in base.services_by_name.values())
    else:
        names.update(_scan(resources, others))
    changed = [resource for resource in delta.changed if isinstance(resource, Backend)]
    kept = [find_resource(resources, ResourceKey(_BACKEND_KIND, name)) for name in sorted(names - replaced)]
    return (*others, *changed, *(resource for resource in kept if resource is not None))


def _only_backends(delta: ConfigurationDelta) -> bool:
    return all(isinstance(resource, Backend) for resource in delta.changed) and all(
        key.kind == _BACKEND_KIND for key in delta.removed
    )


def _address_holders(base: CompiledConfiguration, delta: ConfigurationDelta) -> set[str]:
    """Return the back ends that used an address of a changed resource before."""
    holders = (
        base.backends_by_address.get(resource.spec.address)
        for resource in delta.changed
        if isinstance(resource, Backend | Service)
    )
    return {holder.name for holder in holders if holder is not None}


def _witness(service: CompiledService, replaced: set[str]) -> str:
    """Return an unchanged back end that takes new flows; empty if there is none."""
    return next((backend.name for backend in service.placeable if backend.name not in replaced), "")


def _scan(resources: Sequence[Resource], others: Sequence[Resource]) -> set[str]:
    """Look at every back end after a change of services or places.

    Returns one back end of each service that takes new flows, and the first few
    that name a hall or service that is gone.
    """
    services = {resource.metadata.name: resource.spec for resource in others if isinstance(resource, Service)}
    locations = resolve_locations(tuple(others))
    witnesses: dict[str, str] = {}
    dangling: list[str] = []
    for resource in resources:
        if not isinstance(resource, Backend):
            break
        spec = resource.spec
        service = services.get(spec.service)
        location = locations.get(spec.hall)
        if service is None or location is None:
            dangling.append(resource.metadata.name)
        elif spec.service not in witnesses and _takes_flows(service, spec, location):
            witnesses[spec.service] = resource.metadata.name
    return {*witnesses.values(), *dangling[:MAXIMUM_REPORTED]}


def _takes_flows(service: ServiceSpec, backend: BackendSpec, location: Location) -> bool:
    takes_any = backend.state is BackendState.ACTIVE and backend.weight > 0
    return takes_any and is_place_permitted(service, location)

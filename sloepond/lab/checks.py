"""Validates a scenario beyond its types: every name it uses must be defined in it.

Owns no state; reports all findings with their place.
"""

from __future__ import annotations

from collections.abc import Iterator

from sloepond.lab import faults
from sloepond.lab.declaration import hall_locations
from sloepond.lab.scenario import Scenario, ScenarioError, ScenarioFinding, balancer_name

_LOAD_KINDS = ("session", "feed", "download")


def require_valid(scenario: Scenario, place: str) -> Scenario:
    """Return the scenario if it is valid.

    :param place: name put before each finding.
    :raises ScenarioError: with all findings.
    """
    findings = [*_check_services(scenario, place), *_check_load(scenario, place)]
    findings += _check_faults(scenario, place)
    if findings:
        raise ScenarioError(findings)
    return scenario


def _check_services(scenario: Scenario, place: str) -> Iterator[ScenarioFinding]:
    names = [service.name for service in scenario.services]
    if len(set(names)) != len(names):
        yield ScenarioFinding(f"{place}: services", "two services have the same name")


def _check_load(scenario: Scenario, place: str) -> Iterator[ScenarioFinding]:
    services = {service.name for service in scenario.services}
    for number, load in enumerate(scenario.load, start=1):
        load_place = f"{place}: load[{number}]"
        if load.service not in services:
            yield ScenarioFinding(load_place, f"no service is named {load.service}")
        if load.kind not in _LOAD_KINDS:
            yield ScenarioFinding(load_place, f"kind {load.kind} must be one of {', '.join(_LOAD_KINDS)}")


def _check_faults(scenario: Scenario, place: str) -> Iterator[ScenarioFinding]:
    known = _machine_names(scenario) | _hall_names(scenario)
    for number, fault in enumerate(scenario.faults, start=1):
        for name in _names_used_by(fault):
            if name not in known:
                yield ScenarioFinding(f"{place}: faults[{number}]", f"no machine or hall is named {name}")


def _names_used_by(fault: faults.Fault) -> Iterator[str]:
    for field in ("balancers", "backends", "side", "other"):
        value = getattr(fault, field, ())
        if isinstance(value, tuple):
            yield from value
    if isinstance(fault, faults.Join):
        yield fault.hall


def _hall_names(scenario: Scenario) -> set[str]:
    return {location.hall for location in hall_locations(scenario.topology)}


def _machine_names(scenario: Scenario) -> set[str]:
    """Return the names of all machines that can exist, including those that join later."""
    first = scenario.topology.balancer_names()
    later = sum(_machines_added_by(fault, len(first)) for fault in scenario.faults)
    names = {*first, *(balancer_name(len(first) + number + 1) for number in range(later))}
    return names.union(*(service.backend_names() for service in scenario.services))


def _machines_added_by(fault: faults.Fault, first: int) -> int:
    if isinstance(fault, faults.Join):
        return fault.count
    if isinstance(fault, faults.RollingReplace):
        return len(fault.balancers) or first
    return first if isinstance(fault, faults.Stop) and fault.replace else 0

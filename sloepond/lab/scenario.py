"""Scenarios: what world is simulated, what happens in it, what must hold.

A scenario is one TOML document.  Owns its form; unknown keys are refused, and all findings are
collected with their place and reported together.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from typing import Any

import msgspec

from sloepond.lab.faults import Fault


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all parts of a scenario: immutable, unknown keys refused."""


def balancer_name(number: int) -> str:
    """Return the name of the balancer with a number, from 1 in the order of their starts."""
    return f"balancer-{number}"


class Topology(Strict, frozen=True):
    """Balancers and the places they stand in.

    :ivar halls: number of halls, all in one zone.
    :ivar balancers_per_hall: balancers started in each hall.
    """

    halls: int = 3
    balancers_per_hall: int = 3

    def balancer_names(self) -> list[str]:
        """Return the names of the balancers started at the beginning."""
        return [balancer_name(number + 1) for number in range(self.halls * self.balancers_per_hall)]


class NetworkModel(Strict, frozen=True):
    """Links between machines; one-way times in milliseconds.

    :ivar jitter: largest extra delay as a share of the latency.
    :ivar loss: share of datagrams lost on every link.
    :ivar duplicate: share of datagrams delivered twice.
    :ivar reorder: share of datagrams held back for up to `reorder_ms`.
    :ivar lifetime_ms: longest time a datagram stays in the network.
    """

    local_latency_ms: float = 0.1
    hall_latency_ms: float = 1.5
    caller_latency_ms: float = 1.0
    jitter: float = 0.2
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_ms: float = 50.0
    lifetime_ms: float = 1900.0


class ServiceModel(Strict, frozen=True):
    """One service and its back ends.

    :ivar backends: number of back ends, spread over the halls in turn.
    :ivar slots: requests a back end runs at the same time.
    :ivar queue: requests a back end lets wait; it sheds those beyond.
    :ivar connections: flows a back end holds.
    :ivar service_time_ms: mean time a request runs, in milliseconds.
    :ivar cold_start_s: seconds after a start over which a back end is slower.
    :ivar cold_factor: times slower at the moment of the start.
    :ivar denied_hall: number of a hall, from 1, that traffic may not enter; 0 for none.
    """

    name: str
    backends: int
    slots: int = 2
    queue: int = 200
    connections: int = 2_000
    service_time_ms: float = 5.0
    cold_start_s: float = 0.0
    cold_factor: float = 4.0
    denied_hall: int = 0

    def backend_names(self) -> list[str]:
        """Return the names of the service's back ends."""
        return [f"{self.name}-{number + 1}" for number in range(self.backends)]


class LoadModel(Strict, frozen=True):
    """Flows of one kind to one service.

    :ivar kind: `session` (requests over a while), `feed` (pushed data) or
        `download` (one repeatable request with an answer of many parts).
    :ivar flows: number of flows.
    :ivar start_s: when the first may arrive, after the balancers have started.
    :ivar over_s: they arrive at random times over this many seconds.
    :ivar duration_s: mean time a session or feed stays open.
    :ivar requests: mean number of requests of a session.
    :ivar not_repeatable: share of requests that may not be repeated.
    :ivar push_interval_s: time between pushes of a feed.
    :ivar keepalive_s: time between keepalives of a session.
    :ivar feed_keepalive_s: the same for a feed.
    :ivar parts: parts of the answer of a download.
    """

    service: str
    kind: str = "session"
    flows: int = 1_000
    start_s: float = 0.0
    over_s: float = 60.0
    duration_s: float = 5.0
    requests: float = 1.0
    not_repeatable: float = 0.5
    push_interval_s: float = 2.0
    keepalive_s: float = 5.0
    feed_keepalive_s: float = 2.0
    parts: int = 4


class CallerModel(Strict, frozen=True):
    """How callers behave.

    :ivar retransmit_s: time to the first retransmission; doubles each time.
    :ivar retransmit_maximum_s: longest time between retransmissions.
    :ivar patience_s: time after which a caller gives a packet up.
    :ivar cancel: share of requests cancelled soon after they are sent.
    """

    retransmit_s: float = 0.4
    retransmit_maximum_s: float = 2.0
    patience_s: float = 12.0
    cancel: float = 0.0


class PlatformModel(Strict, frozen=True):
    """What the platform gives.

    :ivar fabric_lag_s: time after which the fabric knows of a change of machines.
    :ivar machine_list_lag_s: age of the list of live machines.
    :ivar read_latency_ms: time a read of the configuration takes.
    """

    fabric_lag_s: float = 2.0
    machine_list_lag_s: float = 8.0
    read_latency_ms: float = 4.0


class Timing(Strict, frozen=True):
    """Parts of the run in simulated seconds.

    :ivar form_s: time given to the balancers to start before callers arrive.
    :ivar settle_s: time after the last arrival until the run ends.
    """

    form_s: float = 8.0
    settle_s: float = 30.0


class RandomFaults(Strict, frozen=True):
    """Faults drawn from the seed.

    :ivar count: number of faults; 0 for none.
    :ivar start_s: earliest time, seconds after the balancers have started.
    :ivar over_s: they are spread over this many seconds.
    """

    count: int = 0
    start_s: float = 2.0
    over_s: float = 60.0


class Expectations(Strict, frozen=True):
    """Limits; each is the largest value at which the promise holds, None is unchecked."""

    broken_flows: int | None = 0
    misrouted_packets: int | None = 0
    place_violations: int | None = 0
    answers_crossed: int | None = 0
    answers_incomplete: int | None = 0
    duplicate_executions: int | None = 0
    false_not_run: int | None = 0
    configuration_reverts: int | None = 0
    outcome_unknown: int | None = None
    refused: int | None = None
    new_work_after_drain_seconds: float | None = 5.0
    configuration_in_force_seconds_max: float | None = 4.0
    control_bytes_per_second_mean: float | None = 2048.0
    imbalance_p99: float | None = None


class Scenario(Strict, frozen=True):
    """One scenario; see the module."""

    name: str
    description: str
    services: tuple[ServiceModel, ...]
    load: tuple[LoadModel, ...]
    timing: Timing = Timing()
    topology: Topology = Topology()
    network: NetworkModel = NetworkModel()
    callers: CallerModel = CallerModel()
    platform: PlatformModel = PlatformModel()
    faults: tuple[Fault, ...] = ()
    random_faults: RandomFaults = RandomFaults()
    expect: Expectations = Expectations()
    settings: dict[str, Any] = {}
    """Changes to `NodeSettings`, as nested tables."""


class ScenarioFinding(msgspec.Struct, frozen=True):
    """Something wrong with a scenario, and where."""

    place: str
    message: str


class ScenarioError(Exception):
    """A scenario was refused; carries all findings."""

    def __init__(self, findings: list[ScenarioFinding]) -> None:
        super().__init__("; ".join(f"{finding.place}: {finding.message}" for finding in findings))
        self.findings = findings


def parse_scenario(text: str, place: str) -> Scenario:
    """Return the scenario in `text`; only its types are checked.

    :param place: name put before each finding.
    :raises ScenarioError: with all findings.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError([ScenarioFinding(place, str(error))]) from error
    types = {field.name: field.type for field in msgspec.structs.fields(Scenario)}
    findings = [finding for item in document.items() for finding in _key_findings(*item, types, place)]
    if findings:
        raise ScenarioError(findings)
    try:
        return msgspec.convert(document, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError([ScenarioFinding(place, str(error))]) from error


def _key_findings(key: str, value: Any, types: dict[str, Any], place: str) -> Iterator[ScenarioFinding]:
    """Yield the findings of one top-level key; items of a list are checked one by one."""
    if key not in types:
        yield ScenarioFinding(f"{place}: {key}", "unknown key")
        return
    is_list = isinstance(value, list)
    for number, item in enumerate(value if is_list else [value], start=1):
        try:
            msgspec.convert([item] if is_list else item, types[key])
        except msgspec.ValidationError as error:
            suffix = f"[{number}]" if is_list else ""
            yield ScenarioFinding(f"{place}: {key}{suffix}", str(error))


def scaled(scenario: Scenario, share: float) -> Scenario:
    """Return the scenario with this share of the flows, over the same time.

    :raises ValueError: where the share is not above 0.
    """
    if share <= 0:
        raise ValueError(f"share {share} is not above 0")
    if share == 1:
        return scenario
    load = tuple(
        msgspec.structs.replace(item, flows=max(1, round(item.flows * share))) for item in scenario.load
    )
    return msgspec.structs.replace(scenario, load=load)

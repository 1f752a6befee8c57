"""Scenarios: the simulated system, the load and faults applied to it, and the expected limits.

A scenario is one TOML document.  Owns its schema; unknown keys are refused, and all findings are
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
    """Return the name of the balancer with this number; numbers start at 1, in the order of creation."""
    return f"balancer-{number}"


class Topology(Strict, frozen=True):
    """Number of balancers and their halls.

    :ivar halls: number of halls, all in one zone.
    :ivar balancers_per_hall: balancers started in each hall at the beginning.
    """

    halls: int = 3
    balancers_per_hall: int = 3

    def balancer_names(self) -> list[str]:
        """Return the names of the balancers started at the beginning."""
        return [balancer_name(number + 1) for number in range(self.halls * self.balancers_per_hall)]


class NetworkModel(Strict, frozen=True):
    """Links between machines; latencies are one-way, in milliseconds.

    :ivar local_latency_ms: latency between machines of one hall.
    :ivar hall_latency_ms: latency between halls.
    :ivar caller_latency_ms: latency between callers and any machine.
    :ivar jitter: maximum extra delay as a share of the latency.
    :ivar loss: share of datagrams lost on every link.
    :ivar duplicate: share of datagrams delivered twice.
    :ivar reorder: share of datagrams delayed by up to `reorder_ms`, so that later ones overtake them.
    :ivar lifetime_ms: maximum delay of a datagram that is reordered or duplicated.
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

    :ivar backends: number of back ends, assigned to the halls in round-robin order.
    :ivar slots: maximum concurrent requests of a back end.
    :ivar queue: maximum queued requests of a back end; it sheds further ones.
    :ivar connections: maximum flows of a back end.
    :ivar service_time_ms: mean execution time of a request, in milliseconds.
    :ivar cold_start_s: seconds after a start during which a back end is slower.
    :ivar cold_factor: factor by which service times are longer right after a start.
    :ivar denied_hall: number of a hall, from 1, that the service denies; 0 for none.
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

    :ivar kind: `session` (requests at intervals), `feed` (pushed data) or
        `download` (one repeatable request with an answer of many parts).
    :ivar flows: number of flows.
    :ivar start_s: earliest arrival, seconds after the balancers have started.
    :ivar over_s: period over which flows arrive at random times, seconds.
    :ivar duration_s: mean time for which a session or feed stays open, seconds.
    :ivar requests: mean number of requests of a session.
    :ivar not_repeatable: share of requests that may not be repeated.
    :ivar push_interval_s: interval between pushes of a feed.
    :ivar keepalive_s: interval between keepalives of a session.
    :ivar feed_keepalive_s: interval between keepalives of a feed.
    :ivar parts: number of parts in the answer to a download.
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
    """Retransmission, timeout and cancellation of callers.

    :ivar retransmit_s: delay before the first retransmission; doubles each time.
    :ivar retransmit_maximum_s: maximum delay between retransmissions.
    :ivar patience_s: timeout after which a caller gives up on a packet.
    :ivar cancel: share of requests cancelled soon after they are sent.
    """

    retransmit_s: float = 0.4
    retransmit_maximum_s: float = 2.0
    patience_s: float = 12.0
    cancel: float = 0.0


class PlatformModel(Strict, frozen=True):
    """Delays of the platform.

    :ivar fabric_lag_s: delay until the fabric applies a start or end of a balancer.
    :ivar machine_list_lag_s: age of the list of live machines.
    :ivar read_latency_ms: latency of a read of the configuration or of the list of machines.
    """

    fabric_lag_s: float = 2.0
    machine_list_lag_s: float = 8.0
    read_latency_ms: float = 4.0


class Timing(Strict, frozen=True):
    """Phases of the run, in simulated seconds.

    :ivar form_s: time for the balancers to start before callers arrive.
    :ivar settle_s: time from the last arrival to the end of the run.
    """

    form_s: float = 8.0
    settle_s: float = 30.0


class RandomFaults(Strict, frozen=True):
    """Faults generated from the seed.

    :ivar count: number of faults; 0 for none.
    :ivar start_s: earliest time, seconds after the balancers have started.
    :ivar over_s: period over which the faults are spread, seconds.
    """

    count: int = 0
    start_s: float = 2.0
    over_s: float = 60.0


class Expectations(Strict, frozen=True):
    """Limits of the measures: a promise holds up to and including its limit; None disables the check."""

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
    """One scenario: the system, its load, its faults and the expected limits."""

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
    """Overrides of `NodeSettings`, as nested tables."""


class ScenarioFinding(msgspec.Struct, frozen=True):
    """One error in a scenario, and its place in the document."""

    place: str
    message: str


class ScenarioError(Exception):
    """A scenario is invalid; carries all findings."""

    def __init__(self, findings: list[ScenarioFinding]) -> None:
        super().__init__("; ".join(f"{finding.place}: {finding.message}" for finding in findings))
        self.findings = findings


def parse_scenario(text: str, place: str) -> Scenario:
    """Parse the scenario in `text`; checks types only, `checks` validates the names.

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
    """Yield the findings of one top-level key; items of a list are checked separately."""
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
    """Return the scenario with the number of flows multiplied by `share`, over the same time.

    :raises ValueError: if the share is not greater than 0.
    """
    if share <= 0:
        raise ValueError(f"share {share} must be greater than 0")
    if share == 1:
        return scenario
    load = tuple(
        msgspec.structs.replace(item, flows=max(1, round(item.flows * share))) for item in scenario.load
    )
    return msgspec.structs.replace(scenario, load=load)

"""Steps on the placement of new flows."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
from behave import given, then, when
from hypothesis import assume, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from sloepond.core.health.load_estimate import UNKNOWN_LOAD, LoadEstimate
from sloepond.core.routing.placement import (
    POLICY_NAMES,
    BoundedLoadPolicy,
    PlacementCandidate,
    hash_choice,
    hash_order,
    policy_by_name,
)
from sloepond.resources.compiled import CompiledBackend
from sloepond.resources.model import BackendState, Location

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=50)
HALL = Location("region", "zone", "hall")
FLOW_HASHES = st.integers(0, 2**64 - 1)
CAPACITY_ROUNDING = 1e-6


def backend(number, weight=100, slots=2, connections=2_000):
    return CompiledBackend(
        name=f"playback-{number}",
        service="playback",
        address=f"10.0.0.{number + 1}:8000",
        location=HALL,
        slots=slots,
        connections=connections,
        weight=weight,
        state=BackendState.ACTIVE,
        permitted=True,
    )


def estimate(in_flight=0.0, flows=0.0, ejected=False, warmth=1.0, confidence=1.0):
    return LoadEstimate(in_flight, flows, 0.1, True, ejected, warmth, confidence)


@st.composite
def backend_lists(draw, minimum=1):
    count = draw(st.integers(minimum, 9))
    return [backend(n, draw(st.integers(1, 400)), draw(st.integers(1, 8))) for n in range(count)]


@st.composite
def candidate_lists(draw):
    estimates = st.builds(
        estimate,
        in_flight=st.floats(0, 50),
        flows=st.floats(0, 3_000),
        ejected=st.booleans(),
        warmth=st.floats(0.1, 1),
        confidence=st.floats(0, 1),
    )
    return [
        PlacementCandidate(item, draw(estimates), draw(st.integers(0, 500)), draw(st.integers(0, 20)))
        for item in draw(backend_lists())
    ]


def is_usable(candidate):
    return not candidate.load.ejected and candidate.local_flows < candidate.backend.connections


@given('the placement policy "{name}"')
def step_policy(context, name):
    context.policy = policy_by_name(name)


@then("for any candidates the placement is one of them and the same for the same seed")
def step_one_of_them(context):
    @PROPERTY
    @for_all(FLOW_HASHES, candidate_lists(), st.integers())
    def check(flow_hash, candidates, seed):
        first = context.policy.choose(flow_hash, candidates, random.Random(seed))
        second = context.policy.choose(flow_hash, candidates, random.Random(seed))
        assert any(first is candidate.backend for candidate in candidates)
        assert first is second

    check()


@then("for any candidates the placement is neither ejected nor full while another one is neither")
def step_spares(context):
    @PROPERTY
    @for_all(FLOW_HASHES, candidate_lists(), st.data(), st.integers())
    def check(flow_hash, candidates, data, seed):
        for candidate in candidates:
            candidate.load = msgspec.structs.replace(candidate.load, confidence=0.0)
            candidate.local_flows = data.draw(st.sampled_from((0, 1_999, 2_000, 2_500)))
        usable = {candidate.backend.name for candidate in candidates if is_usable(candidate)}
        assume(usable)
        assert context.policy.choose(flow_hash, candidates, random.Random(seed)).name in usable

    check()


@then("for any flow and back ends the placement by hash stays when another back end is removed")
def step_stable(context):
    @PROPERTY
    @for_all(FLOW_HASHES, backend_lists(minimum=2), st.data())
    def check(flow_hash, backends, data):
        chosen = hash_choice(flow_hash, backends)
        removed = data.draw(st.sampled_from([item for item in backends if item is not chosen]))
        assert hash_choice(flow_hash, [item for item in backends if item is not removed]) is chosen

    check()


@then("for any flow and back ends the placement by hash is first in the hash order of any permutation")
def step_order(context):
    @PROPERTY
    @for_all(FLOW_HASHES, backend_lists(), st.randoms(use_true_random=False))
    def check(flow_hash, backends, shuffler):
        shuffled = list(backends)
        shuffler.shuffle(shuffled)
        ordered = hash_order(flow_hash, shuffled)
        assert ordered[0] is hash_choice(flow_hash, backends)
        assert sorted(item.name for item in ordered) == [item.name for item in backends]

    check()


@when("{count:d} placements by hash are made over capacities 100, 200 and 400")
def step_shares(context, count):
    source = random.Random(1)
    backends = [backend(0, 100, 1), backend(1, 100, 2), backend(2, 200, 2)]
    placed = Counter(hash_choice(source.getrandbits(64), backends).name for _ in range(count))
    context.shares = [placed[item.name] / count for item in backends]


@then("the placement shares are within {tolerance:f} of 1/7, 2/7 and 4/7")
def step_shares_are(context, tolerance):
    for share, expected in zip(context.shares, (1 / 7, 2 / 7, 4 / 7), strict=True):
        assert abs(share - expected) < tolerance, context.shares


@then("for any known load the bounded placement is at most 1.25 times the mean")
def step_bounded(context):
    @PROPERTY
    @for_all(FLOW_HASHES, backend_lists(), st.data())
    def check(flow_hash, backends, data):
        flows = {item.name: data.draw(st.integers(0, 1_999)) for item in backends}
        candidates = [PlacementCandidate(item, estimate(), flows[item.name], 0) for item in backends]
        chosen = BoundedLoadPolicy().choose(flow_hash, candidates, random.Random(0))
        capacity = sum(item.weight * item.slots for item in backends)
        mean = (sum(flows.values()) + 1) / capacity
        load = flows[chosen.name] / (chosen.weight * chosen.slots)
        assert load <= 1.25 * mean + CAPACITY_ROUNDING

    check()


@then("for any evenly loaded back ends the bounded placement is the hash choice")
def step_bounded_is_hash(context):
    @PROPERTY
    @for_all(FLOW_HASHES, backend_lists(), st.integers(0, 100))
    def check(flow_hash, backends, percent):
        candidates = [
            PlacementCandidate(item, estimate(flows=item.weight * item.slots * percent / 400), 0, 0)
            for item in backends
        ]
        assume(all(candidate.load.flows < candidate.backend.connections for candidate in candidates))
        chosen = BoundedLoadPolicy().choose(flow_hash, candidates, random.Random(0))
        assert chosen is hash_choice(flow_hash, backends)

    check()


@given("placement candidates that report 50 and 150 flows and one that reports nothing")
def step_unheard(context):
    loads = (estimate(flows=50), estimate(flows=150), UNKNOWN_LOAD)
    context.candidates = [PlacementCandidate(backend(n), load, 0, 0) for n, load in enumerate(loads)]


@given("placement candidates with 1, 2, 1 and 30 requests in flight of which the last has fewest flows")
def step_hot(context):
    loads = (estimate(1, 90), estimate(2, 80), estimate(1, 85), estimate(30, 10))
    context.candidates = [PlacementCandidate(backend(n), load, 0, 0) for n, load in enumerate(loads)]


@when('the placement policy "{name}" chooses')
def step_choose(context, name):
    context.chosen = policy_by_name(name).choose(1, context.candidates, random.Random(1))


@when('the placement policy "{name}" chooses {count:d} times')
def step_choose_often(context, name, count):
    source = random.Random(1)
    policy = policy_by_name(name)
    context.placed = Counter(
        policy.choose(source.getrandbits(64), context.candidates, source).name for _ in range(count)
    )


@then("the placement is the candidate that reports 50 flows")
def step_is_least(context):
    assert context.chosen is context.candidates[0].backend, context.chosen


@then("the placement is never the candidate with 30 requests in flight")
def step_never_hot(context):
    assert context.placed.total() > 0
    assert context.placed[context.candidates[3].backend.name] == 0, context.placed


@when('{count:d} flows are placed by "{name}" over 3 idle back ends of which one has warmth 0.1')
def step_cold(context, count, name):
    source = random.Random(1)
    policy = policy_by_name(name)
    candidates = [
        PlacementCandidate(backend(n), estimate(warmth=warmth), 0, 0)
        for n, warmth in enumerate((0.1, 1.0, 1.0))
    ]
    for _ in range(count):
        chosen = policy.choose(source.getrandbits(64), candidates, source)
        next(item for item in candidates if item.backend is chosen).local_flows += 1
    context.cold_share = candidates[0].local_flows / count


@then("the cold back end has at most {percent:d} percent of the placements")
def step_cold_share(context, percent):
    assert context.cold_share <= percent / 100, context.cold_share


@then('asking for the placement policy "{name}" fails and names the known ones')
def step_unknown(context, name):
    try:
        policy_by_name(name)
    except ValueError as error:
        assert all(known in str(error) for known in POLICY_NAMES), error
    else:
        raise AssertionError("an unknown policy was given")

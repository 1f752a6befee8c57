"""Steps on back ends that answer slowly."""

from __future__ import annotations

from collections import Counter

from behave import then, when
from forwarding_model import STREAM, segment
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.events import TimerFired
from sloepond.core.forwarding.load.latency_estimate import LatencyEstimate

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=80)
FAST_S = 0.05
SLOW_S = 0.4
FLOWS = 200
SLOW = 3
"""Number of the slow back end, one of five."""


def exchange(harness, backend, port, latency_s, is_answered=True):
    """Send one request over an open flow, acknowledge its answer if there is one, and close the flow."""
    node, token = harness.node, backend.token
    node.decide(segment(STREAM, port, token, acknowledgement=7), harness.now)
    node.decide(segment(STREAM, port, token, length=90, acknowledgement=7), harness.now)
    harness.run_to(harness.now + latency_s, TimerFired())
    acknowledgement = 8 if is_answered else 7
    if is_answered:
        node.decide(segment(STREAM, port, token, acknowledgement=acknowledgement), harness.now)
    closing = segment(STREAM, port, token, acknowledgement=acknowledgement)
    closing.is_closing = True
    node.decide(closing, harness.now)


def observe_latencies(context, latency_of, is_answered=lambda backend: True):
    """Send four requests to each back end."""
    harness = context.harness
    backends = [b for b in harness.node.backends if b.service == "booking"]
    harness.run_to(harness.now + 5.0, TimerFired())
    for turn in range(4):
        for backend in backends:
            port = 100 * backend.number + turn
            exchange(harness, backend, port, latency_of(backend), is_answered(backend))


@when("forwarding observes one back end answering eight times slower than the others")
def one_slow(context):
    observe_latencies(context, lambda backend: SLOW_S if backend.number == SLOW else FAST_S)


@when("forwarding observes callers of one back end closing flows without an answer")
def one_hangs(context):
    observe_latencies(
        context,
        lambda backend: SLOW_S if backend.number == SLOW else FAST_S,
        lambda backend: backend.number != SLOW,
    )


@when("forwarding observes all back ends answering slowly")
def all_slow(context):
    observe_latencies(context, lambda backend: SLOW_S)


def placed_on(context, first_port):
    """Place flows one after the other, closing each at once; return how many each back end got."""
    harness = context.harness
    counts = Counter()
    for port in range(first_port, first_port + FLOWS):
        decision = harness.node.decide(segment(STREAM, port, opening=True), harness.now)
        counts[decision.backend.number] += 1
        closing = segment(STREAM, port, decision.backend.token)
        closing.is_closing = True
        harness.node.decide(closing, harness.now)
    return counts


@then("forwarding places less than a fifth of an equal share of flows on it")
def few_flows(context):
    assert placed_on(context, 2000)[SLOW] < FLOWS / 5 / 5


@then("forwarding places an equal share of flows on it again 20 seconds later")
def tried_again(context):
    context.harness.run_to(context.harness.now + 20.0, TimerFired())
    assert placed_on(context, 4000)[SLOW] > FLOWS / 5 / 2


@then("forwarding places an equal share of flows on each of them")
def equal_parts(context):
    counts = placed_on(context, 2000)
    assert len(counts) == 5 and min(counts.values()) > FLOWS / 5 / 2


@then("forwarding property: an estimated latency is within the observed range, and unknown 20 seconds later")
def estimate_within(context):
    @PROPERTY
    @for_all(st.lists(st.tuples(st.floats(0.001, 9.0), st.floats(0.0, 3.0)), min_size=1, max_size=40))
    def check(observations):
        estimate = LatencyEstimate()
        now = 100.0
        assert estimate.mean(now) is None
        for seconds, gap_s in observations:
            now += gap_s
            estimate.observe(seconds, now)
        seen = [seconds for seconds, _ in observations]
        mean = estimate.mean(now)
        assert mean is None or min(seen) * 0.999 <= mean <= max(seen) * 1.001
        assert estimate.mean(now + 20.0) is None

    check()

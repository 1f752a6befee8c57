"""Steps on latency histograms and the metrics page."""

from __future__ import annotations

from behave import then, when
from forwarding_model import STREAM, record, segment
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families

from sloepond.core.forwarding.load.latency import BOUNDS_S, LatencyHistogram
from sloepond.runtime.forwarding.metrics import metrics_page

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=60)


def samples(context):
    """Return all samples of the metrics page by name and bound."""
    text = metrics_page(context.harness.node, context.harness.now).body.decode()
    return {
        (sample.name, sample.labels.get("le", "")): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def observe(harness, after_s, packet):
    """Advance the clock, then have the node decide on a packet."""
    harness.now += after_s
    return harness.node.decide(packet, harness.now)


@when("forwarding observes a flow opened in 4 ms and a request answered in 30 ms")
def opening_and_request(context):
    harness = context.harness
    token = observe(harness, 0.0, segment(STREAM, opening=True)).backend.token
    observe(harness, 0.004, segment(token=token, length=100, acknowledgement=1))
    observe(harness, 0.030, segment(token=token, acknowledgement=500))


@then("the forwarding metrics count 1 opening up to 0.005 s and 1 request up to 0.05 s")
def counted(context):
    found = samples(context)
    expected = {"opening": ("0.002", "0.005"), "request": ("0.02", "0.05")}
    for name, (below, bound) in expected.items():
        metric = f"sloepond_{name}_seconds"
        assert found[(f"{metric}_bucket", below)] == 0
        assert found[(f"{metric}_bucket", bound)] == found[(f"{metric}_bucket", "+Inf")] == 1
        assert found[(f"{metric}_count", "")] == 1
    assert abs(found[("sloepond_opening_seconds_sum", "")] - 0.004) < 1e-5
    assert abs(found[("sloepond_request_seconds_sum", "")] - 0.034) < 0.0041


@when("forwarding observes a request without an answer")
def request_unanswered(context):
    harness = context.harness
    observe(harness, 0.0, segment(token=1, length=100, acknowledgement=1))
    observe(harness, 0.2, segment(token=1, length=100, acknowledgement=1))


@then("the forwarding metrics count no request")
def none_counted(context):
    assert samples(context)[("sloepond_request_seconds_count", "")] == 0


@when("forwarding observes three requests to one back end answered in 300 ms")
def three_answered(context):
    for port in (2000, 2001, 2002):
        observe(context.harness, 0.0, segment(port=port, token=1, acknowledgement=7))
        observe(context.harness, 0.0, segment(port=port, token=1, length=100, acknowledgement=7))
        observe(context.harness, 0.3, segment(port=port, token=1, acknowledgement=8))


def reported_latencies(context):
    """Return the reported latencies by name of the back end."""
    text = metrics_page(context.harness.node, context.harness.now).body.decode()
    return {
        sample.labels["backend"]: sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == "sloepond_backend_latency_seconds"
    }


@then("the forwarding metrics report a latency of 0.3 s for that back end only")
def one_latency(context):
    assert reported_latencies(context) == {record(1).name: 0.3}


@then("the forwarding metrics report none 20 seconds later")
def no_latency(context):
    context.harness.now += 20.0
    assert reported_latencies(context) == {}


@then("forwarding property: counts of a histogram increase with its bounds up to the total")
def histograms_cumulative(context):
    @PROPERTY
    @for_all(st.lists(st.floats(0.0, 20.0)))
    def check(latencies):
        histogram = LatencyHistogram()
        for latency in latencies:
            histogram.observe(latency)
        counts = histogram.cumulative()
        assert list(counts) == sorted(counts) and histogram.count == len(latencies)
        for bound, count in zip(BOUNDS_S, counts, strict=True):
            assert count == sum(latency <= bound for latency in latencies)
        assert abs(histogram.total_s - sum(latencies)) < 1e-6

    check()

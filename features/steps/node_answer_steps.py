"""Steps on what a node concludes about its back ends from the replies that pass through it."""

from __future__ import annotations

import collections

from behave import given, then, when
from configuration_network import snapshot
from forwarding_model import record
from node_steps import NodeNetwork, sent_to

from sloepond.core.events import BackendReplyReceived, CallerPacketReceived, ConfigurationRead
from sloepond.core.forwarding.load.flow_observer import FlowObserver
from sloepond.core.forwarding.load.waiting_requests import UNANSWERED_AFTER_S, WaitingRequests
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding_input import reply_header_of, segment_of
from sloepond.core.packets import BackendReply, BackendReplyKind, CallerPacket, CallerPacketKind, FlowKey

PLAYBACK = "10.255.0.2:7000"
SETTLED_S = 3.0
ANSWER_S = 0.03
"""Time from a request to its answer."""
UNANSWERED_S = 2 * UNANSWERED_AFTER_S
"""Time after which a pending request has counted as unanswered."""
OPENING_INTERVAL_S = 0.2
"""Time between new flows, so that each back end has capacity for one."""
MAXIMUM_OPENINGS = 64
"""Flows that are opened; those of as many back ends as a step needs are kept."""


class RequestingFlow:
    """A flow that sends requests, and the back end that replies to it."""

    def __init__(self, context, port):
        self.context = context
        self.key = FlowKey(PLAYBACK, f"10.1.1.1:{port}", 7)
        self.request_id = 0
        opened = sent_to(self.send(CallerPacketKind.OPEN))
        self.backend_address, self.token = opened.address, opened.packet.token
        self.reply(BackendReplyKind.OPENED, 0)

    def send(self, kind, request_id=0, token=0):
        """Send a packet of the caller; return the node's commands."""
        packet = CallerPacket(kind, self.key, request_id, token=token)
        return self.context.network.handle(self.context.node, CallerPacketReceived(packet))

    def request(self):
        """Send the next request."""
        self.request_id += 1
        sent = sent_to(self.send(CallerPacketKind.REQUEST, self.request_id, self.token))
        assert sent.address == self.backend_address

    def reply(self, kind, request_id, part=0, parts=1):
        """Send a packet of the back end."""
        reply = BackendReply(kind, self.key, request_id, part=part, parts=parts, token=self.token)
        event = BackendReplyReceived(self.backend_address, reply)
        assert len(self.context.network.handle(self.context.node, event)) == 1

    def answer(self):
        """Answer the last request."""
        self.reply(BackendReplyKind.ANSWER, self.request_id)


def run_steps(context, seconds):
    """Let time pass in small steps; record the maximum number of back ends ejected at once."""
    end = context.network.now + seconds
    while context.network.now < end:
        context.network.run(min(0.1, end - context.network.now))
        context.maximum_ejected = max(context.maximum_ejected, context.node.backends_ejected)


def flows_of(context, count, total):
    """Return `total` flows of `count` back ends, the same number of each; other flows stay idle."""
    flows = collections.defaultdict(list)
    for port in range(4000, 4000 + MAXIMUM_OPENINGS):
        flow = RequestingFlow(context, port)
        is_wanted = flow.backend_address in flows or len(flows) < count
        if is_wanted and len(flows[flow.backend_address]) < total // count:
            flows[flow.backend_address].append(flow)
        run_steps(context, OPENING_INTERVAL_S)
    assert sum(map(len, flows.values())) == total, flows
    return [flow for kept in flows.values() for flow in kept]


@given("a running node with {count:d} back ends of a service")
def step_running(context, count):
    context.network = NodeNetwork()
    context.node = context.network.start("balancer-1")
    context.maximum_ejected = 0
    context.network.handle(context.node, ConfigurationRead(snapshot(1, 2 * count)))
    context.network.run(SETTLED_S)
    assert context.node.status().state == "active"


@when(
    "{count:d} of the back ends get a request on each of {total:d} flows every {interval:d} seconds"
    " for {seconds:d} seconds and answer"
)
def step_answered(context, count, total, interval, seconds):
    flows = flows_of(context, count, total)
    for _ in range(seconds // interval):
        for flow in flows:
            flow.request()
        run_steps(context, ANSWER_S)
        for flow in flows:
            flow.answer()
        run_steps(context, interval - ANSWER_S)


@then("no request counts as unanswered and no back end is ejected")
def step_none(context):
    seen = (context.node.requests_unanswered, context.maximum_ejected)
    assert seen == (0, 0), f"{seen[0]} requests unanswered, {seen[1]} back ends ejected at once"


@when("a request is replied to with {kind}")
def step_refused(context, kind):
    flow = RequestingFlow(context, 4000)
    flow.request()
    run_steps(context, ANSWER_S)
    flow.reply(BackendReplyKind[kind.upper()], flow.request_id)
    run_steps(context, UNANSWERED_S)


@when(
    "{count:d} of the back ends gets a request on each of {total:d} flows every {interval:d} seconds"
    " for {seconds:d} seconds and is silent"
)
def step_silent(context, count, total, interval, seconds):
    flows = flows_of(context, count, total)
    for _ in range(seconds // interval):
        for flow in flows:
            flow.request()
        run_steps(context, interval)


@then("all {count:d} requests count as unanswered and that back end is ejected")
def step_ejected(context, count):
    assert (context.node.requests_unanswered, context.maximum_ejected) == (count, 1)


def other_packet(context, flow, name):
    """Send a packet of a back end that does not answer the last request of a flow."""
    if name == "a late duplicate of the previous answer":
        flow.reply(BackendReplyKind.ANSWER, flow.request_id - 1)
    elif name == "the answer of another back end":
        flow.token += 1
        flow.answer()
    elif name == "the answer to a request of another flow":
        other = RequestingFlow(context, 4001)
        other.request()
        other.answer()
    elif name == "a push of a feed":
        flow.reply(BackendReplyKind.PUSH, flow.request_id)
    elif name == "the answer to a keepalive":
        flow.reply(BackendReplyKind.ALIVE, 0)
    else:
        raise AssertionError(name)


@when("a request is unanswered and its balancer receives {name}")
def step_request_pending(context, name):
    flow = RequestingFlow(context, 4000)
    flow.request()
    flow.answer()
    run_steps(context, ANSWER_S)
    flow.request()
    run_steps(context, ANSWER_S)
    other_packet(context, flow, name)
    run_steps(context, UNANSWERED_S)


@then("{count:d} request counts as unanswered")
def step_unanswered(context, count):
    assert context.node.requests_unanswered == count, context.node.requests_unanswered


@when("a request is answered in {parts:d} parts that arrive in reverse order")
def step_parts(context, parts):
    flow = RequestingFlow(context, 4000)
    run_steps(context, SETTLED_S)
    context.in_flight_counts = [context.node.status().in_flight]
    flow.request()
    context.in_flight_counts.append(context.node.status().in_flight)
    for part in reversed(range(parts)):
        flow.reply(BackendReplyKind.ANSWER, flow.request_id, part, parts)
        context.in_flight_counts.append(context.node.status().in_flight)


@then("it is in flight until the first of them and never again")
def step_in_flight(context):
    assert context.in_flight_counts == [0, 1, 0, 0, 0], context.in_flight_counts


@when("a flow observer sees a request, {reply} and the caller's next packet")
def step_observed(context, reply):
    context.observer = FlowObserver(WaitingRequests())
    context.backend = ForwardingBackend(record(1), 0.0)
    flow = FlowKey(PLAYBACK, "10.1.1.1:4000", 7)
    token = context.backend.token
    request = CallerPacket(CallerPacketKind.REQUEST, flow, 1, token=token)
    kind = BackendReplyKind.REFUSED if reply == "a refusal" else BackendReplyKind.ANSWER
    context.observer.observe_packet(segment_of(request), context.backend, 1.0)
    for index in range(2 if reply == "the answer twice" else 1):
        header = reply_header_of(BackendReply(kind, flow, 1, token=token))
        context.observer.observe_reply(header, 1.0 + ANSWER_S * (index + 1))
    keepalive = CallerPacket(CallerPacketKind.KEEPALIVE, flow, token=token)
    context.observer.observe_packet(segment_of(keepalive), context.backend, 3.0)


@then("it has counted {count:d} latencies and no request is in flight")
def step_counted(context, count):
    latency = context.observer.request_latency
    assert (latency.count, context.backend.in_flight) == (count, 0)
    assert abs(latency.total_s - count * ANSWER_S) < 1e-9, latency.total_s

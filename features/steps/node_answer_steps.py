"""Steps on what a node learns of its back ends from the replies that pass it."""

from __future__ import annotations

import collections

from behave import given, then, when
from configuration_network import snapshot
from node_steps import NodeNetwork, sent_to

from sloepond.core.events import BackendReplyReceived, CallerPacketReceived, ConfigurationRead
from sloepond.core.packets import BackendReply, BackendReplyKind, CallerPacket, CallerPacketKind, FlowKey

PLAYBACK = "10.255.0.2:7000"
SETTLED_S = 3.0
ANSWER_S = 0.03
"""Time from a request to its answer."""
OPENING_INTERVAL_S = 0.2
"""Time between new flows, in which each back end has room for one."""
MOST_OPENINGS = 64
"""New flows, of which those of the back ends that are asked for are kept."""


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


def let_pass(context, seconds):
    """Let time pass in small steps; note the most back ends passed over at once."""
    end = context.network.now + seconds
    while context.network.now < end:
        context.network.run(min(0.1, end - context.network.now))
        context.most_passed_over = max(context.most_passed_over, context.node.backends_passed_over)


def flows_of(context, count, total):
    """Return flows of so many back ends, as many of each; the others that are opened rest."""
    flows = collections.defaultdict(list)
    for port in range(4000, 4000 + MOST_OPENINGS):
        flow = RequestingFlow(context, port)
        is_wanted = flow.backend_address in flows or len(flows) < count
        if is_wanted and len(flows[flow.backend_address]) < total // count:
            flows[flow.backend_address].append(flow)
        let_pass(context, OPENING_INTERVAL_S)
    assert sum(map(len, flows.values())) == total, flows
    return [flow for kept in flows.values() for flow in kept]


@given("a running node with {count:d} back ends of a service")
def step_running(context, count):
    context.network = NodeNetwork()
    context.node = context.network.start("balancer-1")
    context.most_passed_over = 0
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
        let_pass(context, ANSWER_S)
        for flow in flows:
            flow.answer()
        let_pass(context, interval - ANSWER_S)


@then("no request counts as unanswered and no back end is passed over")
def step_none(context):
    seen = (context.node.requests_unanswered, context.most_passed_over)
    assert seen == (0, 0), f"{seen[0]} requests unanswered, {seen[1]} back ends passed over at once"

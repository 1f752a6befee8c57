"""Steps on the node that forwards sloepond's own packets by token."""

from __future__ import annotations

import heapq
import itertools
import random

from behave import given, then, when
from configuration_network import snapshot

from sloepond.core.commands import CompleteStop, SendToBackend, SendToPeer
from sloepond.core.events import (
    CallerPacketReceived,
    ConfigurationRead,
    PeerMessageReceived,
    StopRequested,
    TimerFired,
)
from sloepond.core.messages import ConfigurationOffered, Member
from sloepond.core.node import Node
from sloepond.core.packets import CallerPacket, CallerPacketKind, FlowKey
from sloepond.core.settings import MembershipSettings, NodeSettings
from sloepond.resources.model import Location

LOCATION = Location("accra", "zone-a", "hall-0")
HOP_S = 0.002
SERVICE = "10.255.0.1:7000"


class NodeNetwork:
    """Nodes, their clock and the messages between them."""

    def __init__(self):
        self.now = 50.0
        self.nodes = {}
        self.sent = []
        self.order = itertools.count()
        self.queue = []

    def start(self, name, seeds=()):
        """Start a node."""
        address = f"10.9.0.{len(self.nodes) + 1}:7300"
        settings = NodeSettings(membership=MembershipSettings(seeds=seeds))
        node = Node(Member(name, 1, address, LOCATION), settings, random.Random(len(self.nodes)))
        self.nodes[address] = node
        self.carry_out(address, node.start(self.now))
        return node

    def handle(self, node, event):
        """Pass a node an event; return its commands."""
        commands = node.handle(event, self.now)
        self.carry_out(node.identity.address, commands)
        return commands

    def carry_out(self, address, commands):
        """Store commands, and deliver messages between nodes."""
        self.sent.extend((self.now, command) for command in commands)
        sender = self.nodes[address].identity
        if any(isinstance(command, CompleteStop) for command in commands):
            del self.nodes[address]
        for command in commands:
            if isinstance(command, SendToPeer) and command.address in self.nodes:
                event = PeerMessageReceived(sender.name, sender.incarnation, address, command.message)
                item = (self.now + HOP_S, next(self.order), self.nodes[command.address], event)
                heapq.heappush(self.queue, item)

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while True:
            due = min(((n.next_deadline(), address) for address, n in self.nodes.items()), default=(end, ""))
            arrives = self.queue[0][0] if self.queue else end
            if min(due[0], arrives) >= end:
                break
            if arrives <= due[0]:
                self.now, _, node, event = heapq.heappop(self.queue)
                self.handle(node, event)
            else:
                self.now = max(self.now, due[0])
                self.handle(self.nodes[due[1]], TimerFired())
        self.now = end


def packet(kind, port, token=0):
    """Return a packet of a caller."""
    request_id = 1 if kind is CallerPacketKind.REQUEST else 0
    return CallerPacket(kind, FlowKey(SERVICE, f"10.1.1.1:{port}", 7), request_id, token=token)


@given("a running node with generation {generation:d} in force")
def running(context, generation):
    context.network = NodeNetwork()
    context.node = context.network.start("balancer-1")
    context.network.handle(context.node, ConfigurationRead(snapshot(generation)))
    context.network.run(3.0)
    assert context.node.configuration.in_force.generation == generation
    assert context.node.status().state == "active"


@when("a fresh node with that node as its seed reads generation {generation:d} from the platform")
def reads_older(context, generation):
    context.fresh = context.network.start("balancer-2", (context.node.identity.address,))
    context.network.handle(context.fresh, ConfigurationRead(snapshot(generation)))


@then("the fresh node has generation {generation:d} within {seconds:d} seconds and never generation 1")
def uses_newest(context, generation, seconds):
    ends_at = context.network.now + seconds
    while context.fresh.configuration.in_force.generation != generation:
        assert context.fresh.configuration.in_force.generation == 0
        assert context.network.now < ends_at
        context.network.run(0.05)


@given("a fresh node whose seed and platform are silent")
def silent(context):
    context.network = NodeNetwork()
    context.node = context.network.start("balancer-1", ("10.9.0.9:7300",))


@then("it sends its seed an offer once per second and reports that it is joining")
def sends_offers(context):
    context.network.run(10.0)
    offers = [
        command
        for _, command in context.network.sent
        if isinstance(command, SendToPeer) and command.address == "10.9.0.9:7300"
    ]
    assert 9 <= len(offers) <= 11, len(offers)
    assert all(command.message == ConfigurationOffered(0, "") for command in offers)
    assert context.node.status().state == "joining" and not context.node.configuration.is_ready


def sent_to(commands):
    """Return the packet sent to a back end."""
    (sent,) = [command for command in commands if isinstance(command, SendToBackend)]
    return sent


@when("another node with generation {generation:d} receives packets of a flow opened at the first")
def another(context, generation):
    network = context.network
    other = network.start("balancer-2")
    network.handle(other, ConfigurationRead(snapshot(generation)))
    network.run(3.0)
    opened = sent_to(network.handle(context.node, CallerPacketReceived(packet(CallerPacketKind.OPEN, 4000))))
    request = CallerPacketReceived(packet(CallerPacketKind.REQUEST, 4000, opened.packet.token))
    context.sent = [
        opened,
        sent_to(network.handle(other, request)),
        sent_to(network.handle(context.node, request)),
    ]


@then("both send the flow's packets to one back end")
def one_back_end(context):
    assert len({command.address for command in context.sent}) == 1
    assert context.sent[0].packet.token == context.sent[1].packet.token != 0


@when("that node is stalled for {seconds:d} seconds")
def stalls(context, seconds):
    context.network.now += seconds


@then("it refuses to place a flow, counts one stall and places flows again after {seconds:d} seconds")
def refuses(context, seconds):
    network, node = context.network, context.node
    opening = CallerPacketReceived(packet(CallerPacketKind.OPEN, 4001))
    assert not [c for c in network.handle(node, opening) if isinstance(c, SendToBackend)]
    assert node.counters.stalls_detected == 1
    network.run(seconds)
    sent_to(network.handle(node, CallerPacketReceived(packet(CallerPacketKind.OPEN, 4002))))
    assert node.counters.stalls_detected == 1


@when("that node is asked to stop")
def stops(context):
    context.network.handle(context.node, StopRequested())


@then("it reports that it is leaving, keeps forwarding and completes the stop in {seconds:d} seconds")
def leaves(context, seconds):
    network, node = context.network, context.node
    assert node.status().state == "leaving"
    network.run(seconds - 0.1)
    sent_to(network.handle(node, CallerPacketReceived(packet(CallerPacketKind.OPEN, 4003))))
    assert not any(isinstance(command, CompleteStop) for _, command in network.sent)
    network.run(0.2)
    assert any(isinstance(command, CompleteStop) for _, command in network.sent)

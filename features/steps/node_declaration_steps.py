"""Steps on back ends whose declaration an operator changes, and on IPv4 and IPv6 addresses."""

from __future__ import annotations

from behave import given, then, when
from configuration_resources import backend, places, service
from node_steps import NodeNetwork, packet, sent_to

from sloepond.core.commands import SendToBackend, SendToCaller
from sloepond.core.events import BackendReplyReceived, CallerPacketReceived, ConfigurationRead
from sloepond.core.packets import (
    BackendReply,
    BackendReplyKind,
    CallerPacket,
    CallerPacketKind,
    CallerReplyKind,
    FlowKey,
)
from sloepond.resources.content import make_snapshot
from sloepond.resources.model import (
    API_VERSION,
    BackendState,
    Hall,
    HallSpec,
    Metadata,
    PlaceSelector,
    Zone,
    ZoneSpec,
    ZoneState,
)

ARCHIVE, PLAYBACK = "archive", "playback"
KEPT, MOVED = 0, 4
"""Numbers of two back ends of the archive; the first one does not change."""
OPENINGS = 8
"""New flows to open, enough for a back end with fewer flows than another to get one."""
OPENING_INTERVAL_S = 0.5
NEW_ADDRESS = "10.0.9.9:8000"
DENIED_HALL = "hall-2"
FAR_ZONE, FAR_HALL = "zone-b", "hall-9"
SETTLED_S = 3.0


def address_of(number):
    return backend(number).spec.address


def declared(generation, *changed):
    """Return a generation with two back ends of the archive, one of which may be changed or missing."""
    denied = (PlaceSelector(hall=DENIED_HALL),)
    resources = [*places(), service(ARCHIVE, denied), service(PLAYBACK, denied)]
    others = [backend(KEPT, ARCHIVE), backend(1, PLAYBACK)]
    return make_snapshot(generation, [*resources, *others, *changed])


def put_in_force(context, content):
    context.network.handle(context.node, ConfigurationRead(content))
    context.network.run(SETTLED_S)
    assert context.node.configuration.in_force.generation == content.generation


def openings(context):
    """Open flows of the archive; return the addresses of their back ends."""
    first = getattr(context, "next_port", 5000)
    context.next_port = first + OPENINGS
    return [opened(context, port).address for port in range(first, first + OPENINGS)]


def opened(context, port):
    """Open a flow; return the command that sends its packet to a back end."""
    context.network.run(OPENING_INTERVAL_S)
    opening = packet(CallerPacketKind.OPEN, port)
    return sent_to(context.network.handle(context.node, CallerPacketReceived(opening)))


def open_at_moved(context):
    """Open a flow at the back end whose declaration will change."""
    put_in_force(context, declared(4, backend(MOVED, ARCHIVE)))
    for port in range(4100, 4100 + OPENINGS):
        sent = opened(context, port)
        if sent.address == address_of(MOVED):
            context.request = CallerPacketReceived(packet(CallerPacketKind.REQUEST, port, sent.packet.token))
            return
    raise AssertionError("no flow was opened there")


@when("the next generations drain a back end, undrain it, zero its weight, remove it and declare it again")
def step_drained(context):
    contents = (
        declared(4, backend(MOVED, ARCHIVE)),
        declared(5, backend(MOVED, ARCHIVE, state=BackendState.DRAINING)),
        declared(6, backend(MOVED, ARCHIVE)),
        declared(7, backend(MOVED, ARCHIVE, weight=0)),
        declared(8),
        declared(9, backend(MOVED, ARCHIVE)),
    )
    context.given_flows = []
    for content in contents:
        put_in_force(context, content)
        context.given_flows.append(address_of(MOVED) in openings(context))


@then("the node sends it new flows only while it is declared, not drained and has a weight")
def step_undrained(context):
    assert context.given_flows == [True, False, True, False, False, True], context.given_flows


@when("the next generations drain the zone of a back end with an open flow, and withdraw the drain")
def step_zone_drained(context):
    open_at_moved(context)
    elsewhere = backend(MOVED, ARCHIVE, hall=FAR_HALL)
    context.given_flows, context.open_flow_kept = [], []
    for number, state in enumerate((ZoneState.ACTIVE, ZoneState.EVACUATED, ZoneState.ACTIVE)):
        zone = Zone(API_VERSION, Metadata(FAR_ZONE), ZoneSpec("accra", state=state))
        hall = Hall(API_VERSION, Metadata(FAR_HALL), HallSpec(FAR_ZONE))
        put_in_force(context, declared(5 + number, zone, hall, elsewhere))
        context.given_flows.append(address_of(MOVED) in openings(context))
        sent = sent_to(context.network.handle(context.node, context.request))
        context.open_flow_kept.append(sent.address == address_of(MOVED))


@then("the node sends it the open flow throughout, and new flows only while its zone is not drained")
def step_zone_undrained(context):
    assert context.given_flows == [True, False, True], context.given_flows
    assert all(context.open_flow_kept), context.open_flow_kept


@when("the next generation declares a back end with an open flow at another address")
def step_moved(context):
    open_at_moved(context)
    put_in_force(context, declared(5, backend(MOVED, ARCHIVE, address=NEW_ADDRESS)))


@then("the node sends new flows to the new address, and the open flow to the former one")
def step_at_new_address(context):
    used = set(openings(context))
    assert NEW_ADDRESS in used and used <= {address_of(KEPT), NEW_ADDRESS}, used
    sent = sent_to(context.network.handle(context.node, context.request))
    assert sent.address == address_of(MOVED), sent


@when("the next generation declares a back end with an open flow in a hall that is denied")
def step_denied_hall(context):
    open_at_moved(context)
    put_in_force(context, declared(5, backend(MOVED, ARCHIVE, hall=DENIED_HALL)))


@then("the node sends it the open flow and no new flows")
def step_open_only(context):
    assert set(openings(context)) == {address_of(KEPT)}
    assert sent_to(context.network.handle(context.node, context.request)).address == address_of(MOVED)


@when("the next generation declares a back end with an open flow for the other service")
def step_other_service(context):
    open_at_moved(context)
    put_in_force(context, declared(5, backend(MOVED, PLAYBACK)))


@then("the node sends it no packet of the former service")
def step_no_former(context):
    assert set(openings(context)) == {address_of(KEPT)}
    commands = context.network.handle(context.node, context.request)
    assert not [command for command in commands if isinstance(command, SendToBackend)], commands


@given("a running node whose service is at {address} with a back end at {where}")
def step_addresses(context, address, where):
    context.network = NodeNetwork()
    context.node = context.network.start("balancer-1")
    services = [service(ARCHIVE, address=address), service(PLAYBACK, address="[2001:db8::2]:7000")]
    backends = [backend(KEPT, ARCHIVE, address=where), backend(1, PLAYBACK, address="[2001:db8::8]:8000")]
    put_in_force(context, make_snapshot(1, [*places(), *services, *backends]))
    context.service_address, context.backend_address = address, where


@then("the node forwards packets and answers of a flow from {caller}, and none to another service")
def step_passes(context, caller):
    network, node = context.network, context.node
    flow = FlowKey(context.service_address, caller, 7)
    opened = sent_to(network.handle(node, CallerPacketReceived(CallerPacket(CallerPacketKind.OPEN, flow))))
    token = opened.packet.token
    request = CallerPacket(CallerPacketKind.REQUEST, flow, 1, token=token)
    sent = sent_to(network.handle(node, CallerPacketReceived(request)))
    assert {opened.address, sent.address} == {context.backend_address}
    answer = BackendReply(BackendReplyKind.ANSWER, flow, 1, payload=b"whole", token=token)
    (replied,) = network.handle(node, BackendReplyReceived(context.backend_address, answer))
    assert isinstance(replied, SendToCaller)
    assert (replied.reply.kind, replied.reply.flow) == (CallerReplyKind.ANSWER, flow)
    unknown = CallerPacket(CallerPacketKind.OPEN, FlowKey("[2001:db8::3]:7000", caller, 8))
    commands = network.handle(node, CallerPacketReceived(unknown))
    assert not [command for command in commands if isinstance(command, SendToBackend)], commands

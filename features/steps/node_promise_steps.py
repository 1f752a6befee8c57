"""Steps on the guarantees of nodes between callers and back ends that store flows."""

from __future__ import annotations

import random

import msgspec
from behave import then
from configuration_resources import backend, places, service
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.commands import SendToBackend, SendToCaller
from sloepond.core.events import (
    BackendReplyReceived,
    CallerPacketReceived,
    ConfigurationRead,
    TimerFired,
)
from sloepond.core.messages import Member
from sloepond.core.node import Node
from sloepond.core.packets import CallerPacket, CallerPacketKind, CallerReplyKind, FlowKey
from sloepond.core.settings import ConfigurationSettings, NodeSettings
from sloepond.resources.content import make_snapshot
from sloepond.resources.model import (
    API_VERSION,
    BackendState,
    Hall,
    HallSpec,
    Location,
    Metadata,
    PlaceSelector,
    Zone,
    ZoneSpec,
    ZoneState,
)
from sloepond.standins.backend_model import BackendModel
from sloepond.standins.backend_settings import BackendSettings
from sloepond.standins.content import BackendIdentity

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=120)
STEPS = 60
MINIMUM_EVENTS = 50
"""Minimum number of requests run, requests refused and flows opened over all runs."""
NODES = 3
BACKENDS = 5
SERVICES = ("archive", "playback")
DENIED_HALL = "hall-2"
FAR_HALL = "hall-9"
"""Hall of a zone that is drained in some generations."""
LOCATION = Location("accra", "zone-a", "hall-0")
SERVE_S = 0.05
STEP_S = 0.02
AT_ONCE = ConfigurationSettings(startup_wait_s=0.0)
BUSY = BackendSettings(slots=1, queue=1, service_s=SERVE_S, ordered_flows=True)


class Caller:
    """One flow: its packets, the back end where it was opened, and its refused requests."""

    def __init__(self, number, draw):
        owner = draw.randrange(len(SERVICES))
        self.service = SERVICES[owner]
        self.flow = FlowKey(f"10.255.0.{owner + 1}:7000", f"10.1.1.1:{4000 + number}", number)
        self.packets = []
        self.token = 0
        self.backend = None
        self.requests = 0
        self.refused = set()


class Fleet:
    """Nodes that share only the platform, and back ends that keep running whatever is declared."""

    def __init__(self, seed, may_cancel):
        self.draw = random.Random(seed)
        self.may_cancel = may_cancel
        self.now = 100.0
        self.generation = 0
        self.declared = {}
        self.models = {}
        self.callers = []
        self.replies = []
        self.replying_backend = None
        self.declare()
        self.nodes = [self.fresh_node(number) for number in range(NODES)]

    def fresh_node(self, number):
        member = Member(f"balancer-{number}", 1, f"10.9.0.{number + 1}:7300", LOCATION)
        node = Node(member, NodeSettings(configuration=AT_ONCE), random.Random(self.draw.random()))
        node.start(self.now)
        return node

    def declare(self):
        """Publish a generation in which each back end is active, draining, in another hall or missing."""
        self.generation += 1
        denied = (PlaceSelector(hall=DENIED_HALL),)
        state = ZoneState.EVACUATED if self.draw.random() < 0.3 else ZoneState.ACTIVE
        far = Zone(API_VERSION, Metadata("zone-b"), ZoneSpec("accra", state=state))
        far_hall = Hall(API_VERSION, Metadata(FAR_HALL), HallSpec("zone-b"))
        resources = [*places(), far, far_hall, *(service(name, denied) for name in SERVICES)]
        for number in range(BACKENDS * len(SERVICES)):
            drawn = self.draw.random()
            if number >= len(SERVICES) and drawn < 0.2:
                continue
            is_draining = number >= len(SERVICES) and drawn < 0.5
            state = BackendState.DRAINING if is_draining else BackendState.ACTIVE
            hall = self.draw.choice(("hall-0", "hall-0", FAR_HALL, DENIED_HALL))
            hall = hall if number >= len(SERVICES) else "hall-0"
            owner = SERVICES[number % len(SERVICES)]
            declared = backend(number, owner, hall=hall, state=state)
            resources.append(declared)
            self.model_at(declared.spec.address, declared.metadata.name, owner)
        self.declared[self.generation] = make_snapshot(self.generation, resources)

    def model_at(self, address, name, owner):
        if address not in self.models:
            identity = BackendIdentity(name, owner)
            self.models[address] = BackendModel(identity, BUSY, random.Random(self.draw.random()))

    def handle(self, number, event):
        """Pass a node an event; deliver its packets, but hold back replies."""
        node = self.nodes[number]
        for command in node.handle(event, self.now):
            if isinstance(command, SendToBackend):
                self.reach_backend(number, command)
            elif isinstance(command, SendToCaller):
                self.reply_received(command.reply)

    def reach_backend(self, number, command):
        packet, model = command.packet, self.models[command.address]
        caller = self.callers[packet.flow.incarnation]
        assert model.identity.service == caller.service, "a packet of another service"
        if packet.kind is CallerPacketKind.OPEN:
            self.check_place(number, model)
        else:
            assert command.address == caller.backend, "a packet of a flow of another back end"
        self.queue_replies(number, command.address, model.handle(packet, f"node-{number}", self.now))

    def check_place(self, number, model):
        """Check that a new flow goes to a back end that is permitted and accepts flows in the node's view."""
        in_force = self.nodes[number].configuration.in_force
        known = in_force.backends_by_name.get(model.identity.name)
        if known is not None:
            assert known.permitted and known.accepts_new_flows, model.identity

    def queue_replies(self, number, address, outputs):
        self.replies += [(number, address, output.reply) for output in outputs]

    def reply_received(self, reply):
        caller = self.callers[reply.flow.incarnation]
        if reply.kind is CallerReplyKind.OPENED and caller.backend is None:
            caller.token = reply.token
            caller.backend = self.replying_backend
        if reply.kind is CallerReplyKind.REFUSED and reply.request_id:
            caller.refused.add(reply.request_id)

    def run_backends(self):
        self.now += STEP_S
        for address, model in self.models.items():
            for output in model.on_timer(self.now):
                self.queue_replies(int(output.destination.rpartition("-")[2]), address, [output])
        for number, node in enumerate(self.nodes):
            if node.next_deadline() <= self.now:
                self.handle(number, TimerFired())

    def read_generation(self):
        known = self.draw.choice(sorted(self.declared))
        self.handle(self.draw.randrange(NODES), ConfigurationRead(self.declared[known]))

    def replace_node(self):
        number = self.draw.randrange(NODES)
        self.nodes[number] = self.fresh_node(number)

    def send(self, caller, packet):
        caller.packets.append(packet)
        self.handle(self.draw.randrange(NODES), CallerPacketReceived(packet))

    def open_flow(self):
        caller = Caller(len(self.callers), self.draw)
        self.callers.append(caller)
        self.send(caller, CallerPacket(CallerPacketKind.OPEN, caller.flow))

    def request(self):
        caller = self.opened_caller()
        if caller is not None:
            caller.requests += 1
            kind = CallerPacketKind.REQUEST
            self.send(
                caller,
                CallerPacket(kind, caller.flow, caller.requests, repeatable=False, token=caller.token),
            )

    def opened_caller(self):
        return self.draw.choice([None, *(caller for caller in self.callers if caller.token)])

    def resend(self):
        """Send any earlier packet again, perhaps as a later attempt."""
        caller = self.draw.choice([None, *self.callers])
        if caller is not None:
            packet = self.draw.choice(caller.packets)
            attempt = packet.attempt + self.draw.randrange(2)
            self.send(caller, msgspec.structs.replace(packet, attempt=attempt))

    def cancel(self):
        caller = self.opened_caller()
        if self.may_cancel and caller is not None and caller.requests:
            number = self.draw.randint(1, caller.requests)
            kind = CallerPacketKind.CANCEL
            self.send(caller, CallerPacket(kind, caller.flow, number, token=caller.token))

    def deliver_reply(self):
        if self.replies:
            index = self.draw.randrange(len(self.replies))
            number, address, reply = self.replies.pop(index)
            self.replying_backend = address
            self.handle(number, BackendReplyReceived(address, reply))

    def lose_reply(self):
        if self.replies:
            self.replies.pop(self.draw.randrange(len(self.replies)))

    def step(self):
        actions = {
            self.open_flow: 2,
            self.request: 4,
            self.resend: 4,
            self.cancel: 2,
            self.deliver_reply: 6,
            self.lose_reply: 1,
            self.run_backends: 3,
            self.read_generation: 2,
            self.declare: 1,
            self.replace_node: 1,
        }
        (action,) = self.draw.choices(list(actions), list(actions.values()))
        action()

    def run(self):
        for number in range(NODES):
            self.handle(number, ConfigurationRead(self.declared[1]))
        for _ in range(STEPS):
            self.step()
        while self.replies:
            self.deliver_reply()
        for _ in range(20):
            self.run_backends()
            while self.replies:
                self.deliver_reply()
        return self

    def executions(self):
        """Return the requests that ran, as pairs of flow and request id."""
        return [(each.flow, each.request_id) for model in self.models.values() for each in model.executions]

    def check_once(self):
        ran = self.executions()
        assert len(ran) == len(set(ran)), ran

    def check_refusals(self):
        ran = set(self.executions())
        for caller in self.callers:
            false = [number for number in caller.refused if (caller.flow, number) in ran]
            assert not false, (caller.flow, false)


def check_fleets(check, may_cancel=False):
    """Run random fleets and check each; assert that enough requests ran and were refused."""
    totals = {"ran": 0, "refused": 0, "opened": 0}

    @PROPERTY
    @for_any(st.integers(0, 2**32))
    def run(seed):
        fleet = Fleet(seed, may_cancel).run()
        check(fleet)
        totals["ran"] += len(fleet.executions())
        totals["refused"] += sum(len(caller.refused) for caller in fleet.callers)
        totals["opened"] += sum(caller.backend is not None for caller in fleet.callers)

    run()
    assert min(totals.values()) >= MINIMUM_EVENTS, totals


@then("node property: in any course of events, each packet reaches its own back end or none")
def reaches_own(context):
    check_fleets(lambda fleet: None)


@then("node property: in any course of events, no request of a flow runs twice")
def runs_once(context):
    check_fleets(Fleet.check_once)


@then("node property: in any course of events, a refused request has not run and never will")
def refusals_hold(context):
    check_fleets(Fleet.check_refusals)


@then("node property: in any course of events, a cancelled and refused request has not run and never will")
def cancellations_hold(context):
    check_fleets(Fleet.check_refusals, may_cancel=True)

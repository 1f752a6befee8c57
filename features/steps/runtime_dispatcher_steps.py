"""Steps on the commands that the daemon's dispatcher carries out after a stall."""

from __future__ import annotations

import logbook
from behave import then, when

from sloepond.core.commands import SendToBackend, SendToCaller
from sloepond.core.counters import Counters
from sloepond.core.events import TimerFired
from sloepond.core.packets import BackendPacket, CallerPacketKind, CallerReply, CallerReplyKind, FlowKey
from sloepond.runtime.dispatcher import Dispatcher

FLOW = FlowKey("10.0.0.1:7000", "10.0.0.2:9000", 1)


class StallingNode:
    """Decides on a packet and a reply, and advances the clock before it returns them."""

    def __init__(self, stall_s):
        self.now = 100.0
        self.counters = Counters()
        self._stall_s = stall_s

    def clock(self):
        return self.now

    def handle(self, event, now):
        self.now += self._stall_s
        return [
            SendToBackend("10.0.0.3:8000", BackendPacket(CallerPacketKind.OPEN, FLOW)),
            SendToCaller(CallerReply(CallerReplyKind.OPENED, FLOW)),
        ]


@when("the runtime dispatcher's process stalls for {seconds:g} s between its decisions and carrying them out")
def step_stall(context, seconds):
    context.node = StallingNode(seconds)
    context.sent = []
    handlers = {SendToBackend: context.sent.append, SendToCaller: context.sent.append}
    dispatcher = Dispatcher(context.node, context.node.clock, handlers, logbook.Logger("dispatcher"))
    dispatcher.dispatch(TimerFired())


@then(
    "the runtime dispatcher sent {packets:d} packets to back ends, {replies:d} replies,"
    " and counted {stale:d} stale"
)
def step_sent(context, packets, replies, stale):
    kinds = [type(command) for command in context.sent]
    assert kinds.count(SendToBackend) == packets, kinds
    assert kinds.count(SendToCaller) == replies, kinds
    assert context.node.counters.commands_stale == stale, context.node.counters.commands_stale

"""Objects that the parts of one node share.

Owns: nothing; it groups the objects that most parts read or update, so that a part takes one argument for
them.  Relies on: `state` (the local copy of the store's content), `store` (the watchers that keep it
current), `peers` (the other balancers).
"""

from __future__ import annotations

import random

import msgspec

from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.peers.peer_table import PeerTable
from sloepond.core.forwarding.placement.evacuations import Evacuations
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.route_table import RouteTable
from sloepond.core.forwarding.store.watcher import StoreWatcher


class LocalState(msgspec.Struct, frozen=True):
    """The shared objects of one node.

    :ivar hall: hall of this balancer.
    :ivar ip: address at which peers reach this balancer.
    :ivar routes: routes in force.
    :ivar backends: known back ends, including leaving and departed ones.
    :ivar evacuations: halls that get no new flows.
    :ivar watchers: schedule of the calls to the store, one for each subject.
    :ivar peers: other balancers known.
    :ivar random_source: shared by all parts.  The order of draws is part of a node's behaviour: the same
        seed and the same events give exactly the same run.
    """

    hall: str
    ip: str
    routes: RouteTable
    backends: BackendDirectory
    evacuations: Evacuations
    watchers: dict[Subject, StoreWatcher]
    peers: PeerTable
    counters: ForwardingCounters
    random_source: random.Random

"""Builds the parts of a forwarding node and connects them.

Owns: the order in which the parts are built.  Two constructors draw from the shared random source (the peer
table if there are more seeds than it keeps, then the reader election), so the order is part of a node's
behaviour.  Relies on: all parts; only `node.py` uses this module.
"""

from __future__ import annotations

import random

import msgspec

from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.health.backend_checks import BackendChecks
from sloepond.core.forwarding.health.outlier_ejection import OutlierEjection
from sloepond.core.forwarding.health.reachability import Reachability
from sloepond.core.forwarding.lifecycle.stall_guard import StallGuard
from sloepond.core.forwarding.lifecycle.stop_procedure import StopProcedure
from sloepond.core.forwarding.load.flow_observer import FlowObserver
from sloepond.core.forwarding.load.waiting_requests import WaitingRequests
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.dissemination import Dissemination
from sloepond.core.forwarding.peers.exchange import PeerExchange
from sloepond.core.forwarding.peers.peer_table import PeerTable
from sloepond.core.forwarding.peers.reader_election import ReaderElection
from sloepond.core.forwarding.placement.eligibility import Eligibility
from sloepond.core.forwarding.placement.evacuations import Evacuations
from sloepond.core.forwarding.placement.forwarder import Forwarder
from sloepond.core.forwarding.placement.opening import Openings
from sloepond.core.forwarding.placement.places import ANYWHERE, PlaceRules
from sloepond.core.forwarding.placement.selection import Selector
from sloepond.core.forwarding.placement.slow_start import SlowStart, SlowStartLimit
from sloepond.core.forwarding.placement.unconfirmed_list import UnconfirmedList
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.route_table import RouteTable
from sloepond.core.forwarding.store.staleness_bound import CHANGE_LIMIT_S
from sloepond.core.forwarding.store.store_answers import StoreAnswers
from sloepond.core.forwarding.store.watcher import StoreWatcher

IDENTITY_BITS = 63
"""Bits of the identity that a process draws at its start.  It fits a signed 64-bit integer, and the
probability that any two processes of a fleet of 10,000 draw the same one is 5e-12."""


class NodeOptions(msgspec.Struct, frozen=True):
    """Settings of one balancer that the parts use.

    :ivar ip: address at which peers reach this balancer.
    :ivar seeds: addresses of balancers that may be up.
    :ivar places: halls to which flows of each service may go.
    :ivar capacity: share of a core that the process may use.
    :ivar slow_start_limit: limit on new flows to cold back ends; None for no limit.
    :ivar kill_after_s: seconds from the request to stop until the process is killed.
    :ivar change_limit_s: seconds within which a change must be in force; 0 if the settings name no
        limit, then `CHANGE_LIMIT_S` applies.
    """

    ip: str = ""
    seeds: tuple[str, ...] = ()
    places: PlaceRules = ANYWHERE
    capacity: float = 1.0
    slow_start_limit: SlowStartLimit | None = None
    kill_after_s: float = 0.0
    change_limit_s: float = 0.0


DEFAULTS = NodeOptions()
"""A balancer without peers and without limits of its own."""


class NodeParts(msgspec.Struct, frozen=True):
    """The parts of one node, connected with each other."""

    local: LocalState
    stall_guard: StallGuard
    slow_start: SlowStart
    ejection: OutlierEjection
    forwarder: Forwarder
    dissemination: Dissemination
    answers: StoreAnswers
    exchange: PeerExchange
    stop: StopProcedure
    checks: BackendChecks


def assemble(hall: str, random_source: random.Random, options: NodeOptions) -> NodeParts:
    """Build the parts of a node.

    :param hall: hall of this balancer.
    :param random_source: seeded by the caller.
    """
    local = _local_state(hall, random_source, options)
    stall_guard = StallGuard(local.watchers.values())
    slow_start = SlowStart(options.ip, local.peers, local.routes, options.slow_start_limit)
    waiting = WaitingRequests()
    ejection = OutlierEjection(
        options.ip, local.peers, local.backends, waiting, local.counters, random_source
    )
    observer = FlowObserver(waiting)
    eligibility = Eligibility(local.backends, slow_start, ejection)
    selector = Selector(hall, random_source)
    unconfirmed_list = UnconfirmedList(
        local.watchers[Subject.BACKENDS], local.routes, options.slow_start_limit
    )
    openings = Openings(
        local.routes, stall_guard, unconfirmed_list, eligibility, selector, observer, local.counters
    )
    forwarder = Forwarder(local.backends, observer, openings)
    reachability = Reachability(local.backends, random_source)
    election = ReaderElection(random_source.getrandbits(IDENTITY_BITS), options.capacity, random_source)
    dissemination = Dissemination(local, election, options.change_limit_s or CHANGE_LIMIT_S)
    exchange = PeerExchange(local, dissemination, reachability, ejection)
    return NodeParts(
        local,
        stall_guard,
        slow_start,
        ejection,
        forwarder,
        dissemination,
        StoreAnswers(local, dissemination),
        exchange,
        StopProcedure(local, exchange, options.kill_after_s),
        BackendChecks(local.backends, observer, reachability, exchange, local.counters),
    )


def _local_state(hall: str, random_source: random.Random, options: NodeOptions) -> LocalState:
    backends = BackendDirectory(options.places)
    routes = RouteTable(random_source, backends.services_named)
    return LocalState(
        hall,
        options.ip,
        routes,
        backends,
        Evacuations(routes, backends),
        {subject: StoreWatcher(subject, random_source, random.Random(options.ip)) for subject in Subject},
        PeerTable(options.ip, hall, options.seeds, random_source),
        ForwardingCounters(),
        random_source,
    )

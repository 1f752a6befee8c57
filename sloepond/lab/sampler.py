"""Samples the world at fixed intervals: configurations, balance, control bytes and isolation.

Owns the meters of balance and traffic.  Relies on the world for the sampled state.
"""

from __future__ import annotations

from functools import partial

from sloepond.core.deadlines import NEVER
from sloepond.lab.balancer import BalancerHost
from sloepond.lab.checkers.balance import BalanceMeter, MeanAccumulator
from sloepond.lab.checkers.configuration import BalancerObservation
from sloepond.lab.checkers.traffic import TrafficMeter
from sloepond.lab.scenario import Scenario
from sloepond.lab.world import World

CONFIGURATION_INTERVAL_S = 0.1
"""Interval between checks of configurations, seconds: a fortieth of the checked limit of 4 s."""
IN_FLIGHT_INTERVAL_S = 0.1
"""Interval between readings of the requests in flight, seconds; ten make one sample of balance."""
SAMPLE_INTERVAL_S = 1.0
"""Interval between samples of balance, traffic and isolation, seconds."""


class Sampler:
    """Samples a world until the end of a run.

    :ivar in_flight: back end -> requests in flight, one mean for each second.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._queue = world.queue
        self._last_unreachable_at: dict[str, float] = {}
        self.balance = BalanceMeter()
        self.traffic = TrafficMeter()
        self.in_flight: dict[str, list[float]] = {name: [] for name in world.backends}
        self._means = MeanAccumulator()
        self._balance_until = load_end(world.scenario)

    def start(self) -> None:
        """Schedule the samples: configurations at once, the others once the balancers have started."""
        self._queue.schedule(self._queue.now + CONFIGURATION_INTERVAL_S, self._check_configurations)
        self._queue.schedule(self._world.scenario.timing.form_s, self._start_sampling)

    def _start_sampling(self, _: None) -> None:
        for host in self._world.fleet.balancers.values():
            host.pop_control_bytes()
        self._queue.schedule(self._queue.now + SAMPLE_INTERVAL_S, self._take_samples)
        self._read_in_flight(None)

    # Configurations

    def _check_configurations(self, _: None) -> None:
        now = self._queue.now
        checker = self._world.configuration_checker
        for host in self._world.fleet.running():
            assert host.node is not None
            observation = BalancerObservation(
                name=host.name,
                incarnation=host.process_number,
                generation=host.node.configuration.in_force.generation,
                reachable_since=self._reachable_since(host),
                peer_generation=partial(self._peer_generation, host),
            )
            checker.observe(observation, now)
        self._queue.schedule(now + CONFIGURATION_INTERVAL_S, self._check_configurations)

    def _reachable_since(self, host: BalancerHost) -> float:
        """Return the simulated time since which the process runs and configurations can reach it."""
        now = self._queue.now
        if host.paused or host.configuration_blocks:
            self._last_unreachable_at[host.name] = now
            return NEVER
        return max(host.available_since, self._last_unreachable_at.get(host.name, 0.0))

    def _peer_generation(self, host: BalancerHost) -> int:
        """Return the highest generation in force at the peers that `host` can reach now; 0 for none."""
        generations = [
            peer.node.configuration.in_force.generation
            for peer in self._world.fleet.running()
            if peer is not host
            and peer.node is not None
            and self._world.reachability.is_reachable_peer(host, peer)
        ]
        return max(generations, default=0)

    # Every second

    def _take_samples(self, _: None) -> None:
        self._sample_traffic()
        self._sample_balance()
        self._sample_isolation()
        self._queue.schedule(self._queue.now + SAMPLE_INTERVAL_S, self._take_samples)

    def _sample_traffic(self) -> None:
        sent: list[int] = []
        for host in self._world.fleet.balancers.values():
            control_bytes = host.pop_control_bytes()
            if host.node is not None:
                sent.append(control_bytes)
        self.traffic.add_second(sent)

    def _read_in_flight(self, _: None) -> None:
        """Read the requests in flight of all back ends; the mean over a second becomes one sample."""
        backends = self._world.backends.items()
        self._means.add({name: float(host.model.in_flight) for name, host in backends if host.model})
        self._queue.schedule(self._queue.now + IN_FLIGHT_INTERVAL_S, self._read_in_flight)

    def _sample_balance(self) -> None:
        means = self._means.pop_means()
        for name, values in self.in_flight.items():
            values.append(round(means.get(name, 0.0), 2))
        if self._queue.now > self._balance_until:
            return
        for service in self._world.compiled.services_by_name.values():
            names = {backend.name: backend.slots for backend in service.eligible_backends}
            self.balance.sample([means[name] / slots for name, slots in names.items() if name in means])

    def _sample_isolation(self) -> None:
        for backend in self._world.backends.values():
            if self._world.reachability.is_isolated(backend.name):
                backend.last_isolated_at = self._queue.now


def load_end(scenario: Scenario) -> float:
    """Return the simulated time after which no more flows arrive."""
    arrivals = max((load.start_s + load.over_s for load in scenario.load), default=0.0)
    return scenario.timing.form_s + arrivals

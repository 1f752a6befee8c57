"""Prints every packet of one flow, to find out why a promise broke.

Owns nothing of the run: it wraps the entrances and exits of all machines.  Relies on the key of its
flow in the text of every packet.
"""

from __future__ import annotations

import re
from collections.abc import Callable

from sloepond.core.commands import Command
from sloepond.core.events import Event
from sloepond.core.packets import BackendPacket
from sloepond.lab.backend import BackendHost
from sloepond.lab.balancer import BalancerHost
from sloepond.lab.world import World

PAYLOAD = re.compile(r"payload=b('[^']*'|\"[^\"]*\")")
"""The payload in the text of a packet; it is left out of the trace."""
NEW_MACHINES_S = 0.05
"""Simulated time between looks for machines that have been added, seconds: less than their start takes."""

Printer = Callable[[str], None]
"""Takes one line."""


class FlowTracer:
    """Watches a world for one flow.

    :param incarnation: the flow's incarnation, as named by violations.
    """

    def __init__(self, world: World, incarnation: int, printer: Printer) -> None:
        self._world = world
        self._mark = f"incarnation={incarnation})"
        self._printer = printer
        self._seen: set[str] = set()

    def watch(self) -> None:
        """Watch all machines there are now, and those that start later."""
        for backend in self._world.backends.values():
            self._watch_backend(backend)
        self._watch_balancers(None)

    def _watch_balancers(self, _: None) -> None:
        for name, host in self._world.fleet.balancers.items():
            if name not in self._seen:
                self._seen.add(name)
                self._watch_balancer(host)
        self._world.queue.schedule(self._world.queue.now + NEW_MACHINES_S, self._watch_balancers)

    def _watch_balancer(self, host: BalancerHost) -> None:
        handle = host.handle
        perform = host._perform

        def traced_handle(event: Event) -> None:
            self._show(f"{host.name} <- ", event)
            handle(event)

        def traced_perform(commands: list[Command]) -> None:
            for command in commands:
                self._show(f"{host.name} -> ", command)
            perform(commands)

        host.handle = traced_handle  # type: ignore[method-assign]
        host._perform = traced_perform  # type: ignore[method-assign]

    def _watch_backend(self, host: BackendHost) -> None:
        receive = host.receive

        def traced_receive(argument: tuple[str, BackendPacket]) -> None:
            self._show(f"{host.name} <- ", argument[1])
            receive(argument)

        host.receive = traced_receive  # type: ignore[method-assign]

    def _show(self, prefix: str, item: Command | Event | BackendPacket) -> None:
        text = PAYLOAD.sub("payload=...", repr(item))
        if self._mark in text:
            time = self._world.queue.now - self._world.scenario.timing.form_s
            self._printer(f"{time:10.4f} {prefix}{text}")

"""Prints every packet of one flow as it is sent and as it arrives, to find out why a promise broke.

Owns nothing of the run: it stands between the machines and the network.  Relies on the text of every
packet naming its flow.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from sloepond.lab.engine import Action
from sloepond.lab.network import Endpoint
from sloepond.lab.world import World

PAYLOAD_PATTERN = re.compile(r"payload=b('[^']*'|\"[^\"]*\")")
"""The payload in the text of a packet; it is left out of the trace."""

LinePrinter = Callable[[str], None]
"""Takes one line."""


class FlowTracer:
    """Watches a world for one flow; lost packets are sent and never arrive.

    :param incarnation: the flow's incarnation, as named by violations.
    """

    def __init__(self, world: World, incarnation: int, printer: LinePrinter) -> None:
        self._world = world
        self._flow_text = f"incarnation={incarnation})"
        self._printer = printer

    def watch(self) -> None:
        """Print from now on what the network is given to carry."""
        network = self._world.network
        transmit = network.transmit

        def traced_transmit(
            source: Endpoint, destination: Endpoint, action: Action, argument: Any, may_duplicate: bool = True
        ) -> None:
            text = PAYLOAD_PATTERN.sub("payload=...", repr(argument))
            if self._flow_text not in text:
                transmit(source, destination, action, argument, may_duplicate)
                return

            def traced_arrival(argument: Any) -> None:
                self._print_packet(f"{destination.name} <- {source.name} {text}")
                action(argument)

            self._print_packet(f"{source.name} -> {destination.name} {text}")
            transmit(source, destination, traced_arrival, argument, may_duplicate)

        network.transmit = traced_transmit  # type: ignore[method-assign]

    def _print_packet(self, text: str) -> None:
        time = self._world.queue.now - self._world.scenario.timing.form_s
        self._printer(f"{time:10.4f} {text}")

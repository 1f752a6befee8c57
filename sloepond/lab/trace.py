"""Prints every packet of one flow when it is sent and when it arrives, to debug a broken promise.

Owns no state of the run: it wraps the transmit method of the network.  Relies on the `repr` of every
packet containing its flow.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from sloepond.lab.engine import Action
from sloepond.lab.network import Endpoint
from sloepond.lab.world import World

PAYLOAD_PATTERN = re.compile(r"payload=b('[^']*'|\"[^\"]*\")")
"""Matches the payload in the `repr` of a packet; the trace omits it."""

LinePrinter = Callable[[str], None]
"""Prints one line."""


class FlowTracer:
    """Traces the packets of one flow; a lost packet is printed as sent, but not as arrived.

    :param incarnation: the flow's incarnation, as violations show it.
    """

    def __init__(self, world: World, incarnation: int, printer: LinePrinter) -> None:
        self._world = world
        self._flow_text = f"incarnation={incarnation})"
        self._printer = printer

    def watch(self) -> None:
        """Start to print the packets of the flow that pass through the network."""
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

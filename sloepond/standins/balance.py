"""Measures how evenly the back ends of each service were loaded.

Relies on: the executions that back ends report and the declared configuration.
"""

from __future__ import annotations

import collections
from collections.abc import Collection

import msgspec

from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.compiled_items import CompiledService
from sloepond.standins.backend_record import Execution


class ServiceBalance(msgspec.Struct, frozen=True):
    """Distribution of the requests of one service over its eligible back ends.

    :ivar backends: number of eligible back ends.
    :ivar executed: number of requests they executed.
    :ivar imbalance: maximum number of requests per slot divided by the mean; 1 is perfectly even.
    """

    service: str
    backends: int
    executed: int
    imbalance: float


def measure_balance(
    configuration: CompiledConfiguration, executions: Collection[Execution], excluded: Collection[str] = ()
) -> list[ServiceBalance]:
    """Return the balance of each service.

    :param excluded: back ends that were drained, so that they were not eligible all the time.
    """
    executed = collections.Counter(execution.backend for execution in executions)
    services = sorted(configuration.services_by_name.values(), key=lambda service: service.name)
    return [_balance(service, executed, excluded) for service in services]


def _balance(
    service: CompiledService, executed: collections.Counter[str], excluded: Collection[str]
) -> ServiceBalance:
    eligible = [backend for backend in service.eligible_backends if backend.name not in excluded]
    total = sum(executed[backend.name] for backend in eligible)
    slots = sum(backend.slots for backend in eligible)
    if not total:
        return ServiceBalance(service.name, len(eligible), 0, 1.0)
    largest = max(executed[backend.name] / backend.slots for backend in eligible)
    return ServiceBalance(service.name, len(eligible), total, largest / (total / slots))

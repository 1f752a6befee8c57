"""How evenly the back ends of each service were loaded.

Relies on the executions that back ends report and on the configuration that was declared.
"""

from __future__ import annotations

import collections
from collections.abc import Collection

import msgspec

from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.compiled_items import CompiledService
from sloepond.standins.backend_record import Execution


class ServiceBalance(msgspec.Struct, frozen=True):
    """Executed requests of one service over its eligible back ends.

    :ivar backends: number of eligible back ends.
    :ivar executed: requests they executed.
    :ivar imbalance: largest number of requests per slot over the mean; 1 is even.
    """

    service: str
    backends: int
    executed: int
    imbalance: float


def measure_balance(
    configuration: CompiledConfiguration, executions: Collection[Execution], left_out: Collection[str] = ()
) -> list[ServiceBalance]:
    """Return the balance of each service.

    :param left_out: back ends that were drained, and so not eligible all the time.
    """
    executed = collections.Counter(execution.backend for execution in executions)
    services = sorted(configuration.services_by_name.values(), key=lambda service: service.name)
    return [_balance(service, executed, left_out) for service in services]


def _balance(
    service: CompiledService, executed: collections.Counter[str], left_out: Collection[str]
) -> ServiceBalance:
    eligible = [backend for backend in service.eligible_backends if backend.name not in left_out]
    total = sum(executed[backend.name] for backend in eligible)
    slots = sum(backend.slots for backend in eligible)
    if not total:
        return ServiceBalance(service.name, len(eligible), 0, 1.0)
    largest = max(executed[backend.name] / backend.slots for backend in eligible)
    return ServiceBalance(service.name, len(eligible), total, largest / (total / slots))

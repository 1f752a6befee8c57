"""Weighted rendezvous hashing of flows over back ends.

Each back end draws a number from the flow's hash and its own name alone, so
that adding or removing one back end moves only the flows that it gains or
loses.  The draw is exponential with the capacity as its rate: the smallest draw
wins with a chance proportional to the capacity.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from xxhash import xxh64_intdigest

from sloepond.resources.compiled import CompiledBackend

_HASH_MASK = 2**64 - 1
_FRACTION_SHIFT = 11
_FRACTION_UNIT = 2.0**-53
LEAST_CAPACITY = 1e-6
"""Capacity of a back end of weight 0: chosen only if nothing else is there."""


def rendezvous_draw(flow_hash: int, name: str, capacity: float) -> float:
    """Return the draw of a back end for a flow; the smallest draw wins.

    :param flow_hash: hash of the flow; its lowest 64 bits are used.
    :param name: name of the back end.
    :param capacity: relative share of flows; must be positive.
    """
    bits = xxh64_intdigest(name.encode(), flow_hash & _HASH_MASK) >> _FRACTION_SHIFT
    return -math.log((bits + 0.5) * _FRACTION_UNIT) / capacity


def declared_capacity(backend: CompiledBackend) -> float:
    """Return the declared share of a back end: weight times slots."""
    return backend.weight * backend.slots or LEAST_CAPACITY


def hash_choice(flow_hash: int, backends: Sequence[CompiledBackend]) -> CompiledBackend:
    """Return the back end the hash gives to a flow.

    It depends on nothing but the flow and the declared names, weights and slots,
    so balancers with the same configuration choose alike.

    :param backends: at least one.
    """
    return min(
        backends,
        key=lambda backend: rendezvous_draw(flow_hash, backend.name, declared_capacity(backend)),
    )


def hash_order(flow_hash: int, backends: Sequence[CompiledBackend]) -> list[CompiledBackend]:
    """Return all back ends in the order the hash prefers them for a flow."""
    return sorted(
        backends,
        key=lambda backend: rendezvous_draw(flow_hash, backend.name, declared_capacity(backend)),
    )

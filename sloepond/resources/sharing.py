"""Interns equal values of decoded resources, to save memory.

Decoding creates separate objects for each resource, although thousands of back
ends refer to the same service and hall and have neither labels nor a status.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable

from msgspec.structs import force_setattr

from sloepond.resources.model import API_VERSION, Backend, Resource, Status
from sloepond.resources.slices import Slices, blocks

INTERNED_BACKENDS_PER_UNIT = 2
"""Back ends whose values can be interned for about the cost of compiling one."""

_NO_STATUS = Status()
_NO_LABELS: dict[str, str] = {}


def intern_values_slices(resources: Iterable[Resource]) -> Slices[None]:
    """Replace values of back ends by equal shared objects, in slices."""
    for block in blocks(resources):
        for resource in block:
            if isinstance(resource, Backend):
                _intern_values(resource)
        yield len(block) // INTERNED_BACKENDS_PER_UNIT


def _intern_values(backend: Backend) -> None:
    spec = backend.spec
    force_setattr(spec, "service", sys.intern(spec.service))
    force_setattr(spec, "hall", sys.intern(spec.hall))
    if backend.api_version == API_VERSION:
        force_setattr(backend, "api_version", API_VERSION)
    if backend.status == _NO_STATUS:
        force_setattr(backend, "status", _NO_STATUS)
    if not backend.metadata.labels:
        force_setattr(backend.metadata, "labels", _NO_LABELS)

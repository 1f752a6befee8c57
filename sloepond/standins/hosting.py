"""Converts declared resources to the back ends and services that the stand-ins run and call.

Stateless.  Relies on: the resource types.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

import msgspec

from sloepond.resources.model import Backend, Resource, Service
from sloepond.standins.backend import HostedBackend
from sloepond.standins.backend_model import BackendModel
from sloepond.standins.backend_settings import BackendSettings
from sloepond.standins.content import BackendIdentity
from sloepond.standins.workload import CalledService


def hosted_backends(
    resources: Iterable[Resource],
    names: Collection[str],
    settings: BackendSettings,
    seed: int,
) -> list[HostedBackend]:
    """Return a model for each declared back end.

    :param names: back ends to host; empty for all.
    :param settings: settings of all back ends, except slots and connections, which each resource gives.
    :param seed: seed of the back ends' random sources, each combined with the name.
    """
    return [
        _host(resource, settings, seed)
        for resource in resources
        if isinstance(resource, Backend) and (not names or resource.metadata.name in names)
    ]


def _host(backend: Backend, settings: BackendSettings, seed: int) -> HostedBackend:
    name = backend.metadata.name
    own = msgspec.structs.replace(settings, slots=backend.spec.slots, connections=backend.spec.connections)
    identity = BackendIdentity(name, backend.spec.service)
    model = BackendModel(identity, own, random.Random(f"{seed} {name}"))
    return HostedBackend(backend.spec.address, model)


def called_services(resources: Iterable[Resource], names: Collection[str]) -> list[CalledService]:
    """Return the declared services; `names` selects some, empty selects all."""
    return [
        CalledService(resource.metadata.name, resource.spec.address)
        for resource in resources
        if isinstance(resource, Service) and (not names or resource.metadata.name in names)
    ]

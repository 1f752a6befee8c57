"""The field `status` of resources in force, as the API shows it."""

from __future__ import annotations

import msgspec

from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.model import Backend, BackendState, Resource, Service, Status

IN_FORCE = "in force"


def with_status(resource: Resource, configuration: CompiledConfiguration) -> Resource:
    """Return `resource` with its status in `configuration`, which must be the one in force."""
    status = Status(generation=configuration.generation, message=_message(resource, configuration))
    return msgspec.structs.replace(resource, status=status)


def _message(resource: Resource, configuration: CompiledConfiguration) -> str:
    if isinstance(resource, Backend):
        return f"{IN_FORCE}; {_backend_message(resource, configuration)}"
    if isinstance(resource, Service):
        return f"{IN_FORCE}; {_service_message(resource, configuration)}"
    return IN_FORCE


def _backend_message(resource: Backend, configuration: CompiledConfiguration) -> str:
    backend = configuration.backends_by_name[resource.metadata.name]
    if not backend.permitted:
        return "takes no new flows: its hall is not permitted"
    if backend.location.evacuated:
        return "takes no new flows: its zone is evacuated"
    if backend.state is BackendState.DRAINING:
        return "takes no new flows: draining"
    if backend.weight == 0:
        return "takes no new flows: weight 0"
    return "takes new flows"


def _service_message(resource: Service, configuration: CompiledConfiguration) -> str:
    service = configuration.services_by_name[resource.metadata.name]
    return f"{len(service.eligible_backends)} of {len(service.backends)} back ends take new flows"

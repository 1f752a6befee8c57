"""The resources of a demo: an example whose back ends have addresses in the demo's network.

Writes the file that the stand-ins and operators' commands read.  Relies on: `resources.loading`.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec

from sloepond.demo.addresses import BACKEND_PORT, FIRST_BACKEND_HOST, LoopbackNetwork
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.content import make_snapshot
from sloepond.resources.findings import Finding
from sloepond.resources.loading import load_resources
from sloepond.resources.model import Backend, Resource

RESOURCES_FILE = "resources.json"


class InvalidExampleError(Exception):
    """The example's resources are invalid; the message lists the findings."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(map(str, findings)))


class ResourceFile(msgspec.Struct, frozen=True):
    """Content of a JSON file of resources, as operators' commands read it."""

    resources: tuple[Resource, ...]


class Declaration(msgspec.Struct, frozen=True):
    """The declared configuration of a demo and the file that contains it."""

    configuration: CompiledConfiguration
    file: Path


def declare(example: Path, network: LoopbackNetwork, directory: Path) -> Declaration:
    """Write the resources of `example`, with back ends at addresses of `network`, into `directory`.

    :raises InvalidExampleError: if the example has findings.
    """
    loaded = load_resources([example])
    if loaded.findings:
        raise InvalidExampleError(loaded.findings)
    resources = _assign_addresses(loaded.resources, network)
    file = directory / RESOURCES_FILE
    file.write_bytes(msgspec.json.encode(ResourceFile(tuple(resources))))
    return Declaration(CompiledConfiguration(make_snapshot(1, resources)), file)


def _assign_addresses(resources: Sequence[Resource], network: LoopbackNetwork) -> list[Resource]:
    host = FIRST_BACKEND_HOST
    assigned: list[Resource] = []
    for resource in resources:
        if isinstance(resource, Backend):
            spec = msgspec.structs.replace(resource.spec, address=network.address(host, BACKEND_PORT))
            assigned.append(msgspec.structs.replace(resource, spec=spec))
            host += 1
        else:
            assigned.append(resource)
    return assigned

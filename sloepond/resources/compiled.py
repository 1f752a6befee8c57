"""A configuration generation, indexed for the data path.

`CompiledConfiguration` answers without any parsing which back ends a service
has, and which of them its place rules permit.

Owns the indexes of one generation.  Relies on `resources.content` for its resources, on
`resources.compiled_items` for the place filter, and on `resources.index_update` for
incremental updates.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from sloepond.resources.compiled_items import (
    CompiledBackend,
    CompiledService,
    compile_backend,
    compile_service,
)
from sloepond.resources.content import (
    GenerationContent,
    ResourceKey,
    backend_count,
    changes_only_backends,
    content_of,
    make_snapshot,
    without_backends,
)
from sloepond.resources.index_update import IndexUpdate, removed_names
from sloepond.resources.layered import LayeredMapping
from sloepond.resources.locations import resolve_locations
from sloepond.resources.model import (
    Backend,
    ConfigurationSnapshot,
    Hall,
    Kind,
    Location,
    Region,
    Resource,
    Service,
    Zone,
)
from sloepond.resources.slices import Slices, blocks, run_to_completion

MAXIMUM_INCREMENTAL_CHANGES = 1_000
"""Changed resources above which the whole configuration is compiled again."""
INDEXED_BACKENDS_PER_UNIT = 2
"""Back ends that can be indexed for about the cost of compiling one."""
_PLACE_KINDS = frozenset((Kind.REGION.value, Kind.ZONE.value, Kind.HALL.value))


class CompiledConfiguration:
    """Indexes of one generation.

    :ivar content: all resources.
    :ivar generation: 0 if no generation is in force yet.
    :ivar services_by_address: virtual address `ip:port` -> service.
    :ivar backends_by_name: name -> back end, of all services.
    :ivar backends_by_address: data address `ip:port` -> back end.
    """

    __slots__ = (
        "_locations",
        "backends_by_address",
        "backends_by_name",
        "content",
        "digest",
        "generation",
        "services_by_address",
        "services_by_name",
    )

    def __init__(self, snapshot: ConfigurationSnapshot) -> None:
        self._set_content(content_of(snapshot))
        run_to_completion(self._compile())

    @classmethod
    def compile_slices(cls, content: GenerationContent) -> Slices[CompiledConfiguration]:
        """Compile a whole generation, in slices."""
        result = cls.__new__(cls)
        result._set_content(content)
        yield from result._compile()
        return result

    def _set_content(self, content: GenerationContent) -> None:
        self.content = content
        self.generation = content.generation
        self.digest = content.digest

    @property
    def snapshot(self) -> ConfigurationSnapshot:
        """Return the generation as a snapshot; each call builds a new one."""
        return ConfigurationSnapshot(self.generation, self.digest, tuple(self.content.resources))

    def _compile(self) -> Slices[None]:
        resources = self.content.resources
        others = without_backends(resources)
        self._locations = resolve_locations(others)
        specs = {item.metadata.name: item.spec for item in others if isinstance(item, Service)}
        backends: dict[str, list[CompiledBackend]] = {name: [] for name in specs}
        eligible_backends: dict[str, list[CompiledBackend]] = {name: [] for name in specs}
        for block in blocks(resources):
            for resource in block:
                if isinstance(resource, Backend) and resource.spec.service in specs:
                    owner = resource.spec.service
                    backend = compile_backend(specs[owner], resource, self._locations)
                    backends[owner].append(backend)
                    if backend.accepts_new_flows:
                        eligible_backends[owner].append(backend)
            yield len(block)
        services = [
            compile_service(name, specs[name], tuple(backends[name]), tuple(eligible_backends[name]))
            for name in specs
        ]
        self.services_by_name: Mapping[str, CompiledService] = {item.name: item for item in services}
        self.services_by_address: Mapping[str, CompiledService] = {item.address: item for item in services}
        yield from self._index_backends(services)

    def _index_backends(self, services: list[CompiledService]) -> Slices[None]:
        by_name: dict[str, CompiledBackend] = {}
        by_address: dict[str, CompiledBackend] = {}
        for service in services:
            for block in blocks(service.backends):
                by_name.update((backend.name, backend) for backend in block)
                by_address.update((backend.address, backend) for backend in block)
                yield len(block) // INDEXED_BACKENDS_PER_UNIT
        self.backends_by_name: LayeredMapping[str, CompiledBackend] = LayeredMapping(by_name)
        self.backends_by_address: LayeredMapping[str, CompiledBackend] = LayeredMapping(by_address)

    @property
    def locations(self) -> Mapping[str, Location]:
        """Return the location of each hall that has one, by the name of the hall."""
        return self._locations

    def updated_to_slices(
        self,
        content: GenerationContent,
        changed: Sequence[Resource],
        removed: Sequence[ResourceKey],
    ) -> Slices[CompiledConfiguration]:
        """Compile content that `updated_content_slices` derived from this configuration, in slices.

        Up to `MAXIMUM_INCREMENTAL_CHANGES`, only the indexes that the change affects are rebuilt.

        :param changed: resources that are new or differ.
        :param removed: keys of the removed resources.
        :raises KeyError: if a back end names a hall that is not declared.
        """
        if len(changed) + len(removed) > MAXIMUM_INCREMENTAL_CHANGES or not self._can_update(
            changed, removed
        ):
            return (yield from CompiledConfiguration.compile_slices(content))
        result = CompiledConfiguration.__new__(CompiledConfiguration)
        result._set_content(content)
        result._locations = self._locations
        if any(isinstance(resource, Region | Zone | Hall) for resource in changed) or any(
            key.kind in _PLACE_KINDS for key in removed
        ):
            result._locations = resolve_locations(without_backends(content.resources))
        update = IndexUpdate(self.services_by_name, self.backends_by_name, self._locations)
        yield from update.apply(changed, removed_names(removed), result._locations)
        yield from result._apply_update(self, update)
        return result

    def _can_update(self, changed: Sequence[Resource], removed: Sequence[ResourceKey]) -> bool:
        """Return whether the indexes hold every back end that a change may affect.

        Back ends of a service that is not declared are in no index.  If there are
        any, a change of services requires a full compilation.
        """
        if changes_only_backends(changed, removed):
            return True
        return backend_count(self.content.resources) == len(self.backends_by_name)

    def _apply_update(self, base: CompiledConfiguration, update: IndexUpdate) -> Slices[None]:
        self.services_by_name = update.services
        self.services_by_address = {item.address: item for item in update.services.values()}
        if len(update.removed_backends) + len(update.added_backends) > MAXIMUM_INCREMENTAL_CHANGES:
            yield from self._index_backends(list(update.services.values()))
            return
        self.backends_by_name = base.backends_by_name.edited(
            [backend.name for backend in update.removed_backends],
            {backend.name: backend for backend in update.added_backends},
        )
        self.backends_by_address = base.backends_by_address.edited(
            [backend.address for backend in update.removed_backends],
            {backend.address: backend for backend in update.added_backends},
        )
        yield len(update.removed_backends) + len(update.added_backends)


EMPTY_CONFIGURATION = CompiledConfiguration(make_snapshot(0, []))
"""The configuration in force before any generation has been read."""

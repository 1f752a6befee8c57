"""Steps for watches of the operators' API."""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from pathlib import Path

import httpx
import msgspec
import trio
from api_fakes import FakeNode, FakeState, backend, configuration, places, silent_logger
from behave import given, then, when
from hypothesis import given as forall
from hypothesis import settings as options
from hypothesis import strategies as st
from trio.testing import MockClock

from sloepond.api.changes import ChangeType, WatchEvent
from sloepond.api.feed import BOOKMARK_INTERVAL_S, Batch, ConfigurationFeed
from sloepond.api.server import serve_api
from sloepond.api.watching import select_kind
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.content import ResourceKey, resource_key
from sloepond.resources.model import Kind, Resource, Status
from sloepond.runtime.settings import ApiSettings

CERTIFICATES = Path(__file__).resolve().parents[1] / "api" / "certificates"
LOOPBACK = "127.0.0.1:0"
TEST_TIMEOUT_S = 10.0
"""Timeout that ends a hanging test; no assertion depends on it."""

PROPERTY = options(derandomize=True, deadline=None, database=None, max_examples=150)
WEIGHTS = st.dictionaries(st.integers(1, 4), st.integers(0, 2))
"""Back ends of a generation: number -> weight."""


def generation_of(number: int, weights: dict[int, int]) -> CompiledConfiguration:
    """Return a generation whose back ends have the given weights."""
    backends = [backend(f"roster-{index}", weight=weight) for index, weight in sorted(weights.items())]
    return configuration(number, [*places(), *backends])


class Reader:
    """Applies the events of each change together, as an operator's tool should."""

    def __init__(self) -> None:
        self.version = 0
        self.resources: dict[ResourceKey, Resource] = {}
        self._pending: list[WatchEvent] = []

    def start_watch(self) -> None:
        """Discard the events of a change that was interrupted."""
        self._pending = []

    def handle(self, event: WatchEvent) -> None:
        """Handle one event; the last one of a change applies the change."""
        assert event.type is not ChangeType.GONE
        self._pending.append(event)
        if event.resource_version < event.generation:
            assert event.resource_version == self.version
            return
        for pending in self._pending:
            self._apply(pending)
        self._pending = []
        self.version = event.resource_version

    def _apply(self, event: WatchEvent) -> None:
        if event.resource is None:
            return
        key = resource_key(event.resource)
        if event.type is ChangeType.DELETED:
            del self.resources[key]
            return
        assert (event.type is ChangeType.ADDED) == (key not in self.resources)
        assert event.resource.status.generation == event.generation
        self.resources[key] = msgspec.structs.replace(event.resource, status=Status())

    def has_resources_of(self, expected: CompiledConfiguration, kind: Kind | None = None) -> bool:
        """Return whether the reader has exactly the resources of a configuration."""
        resources = {resource_key(item): item for item in expected.snapshot.resources}
        if kind is not None:
            resources = {key: item for key, item in resources.items() if key.kind == kind.value}
        return self.resources == resources


def run_simulated(body: Callable[[], Awaitable[None]]) -> None:
    """Run a task on a simulated clock."""
    trio.run(body, clock=MockClock(autojump_threshold=0))


async def next_batch(feed: ConfigurationFeed, version: int) -> Batch:
    """Return the first batch of a new watch."""
    async with aclosing(feed.watch(version)) as batches:
        return await anext(batches)


async def read_with_interruptions(
    generations: list[dict[int, int]], event_counts: list[int], kind: Kind | None
) -> tuple[Reader, CompiledConfiguration]:
    """Read a changing configuration through watches that end after a few events."""
    holder = FakeNode(generation_of(1, generations[0])).configuration
    feed = ConfigurationFeed(lambda: holder.in_force)
    reader = Reader()
    remaining = iter(event_counts)
    for number, weights in enumerate(generations, start=1):
        holder.in_force = generation_of(2 * number, weights)
        feed.poll()
        lines = select_kind(await next_batch(feed, reader.version), kind)
        reader.start_watch()
        for event in lines[: next(remaining, 1)]:
            reader.handle(event)
    for _ in generations:
        reader.start_watch()
        for event in select_kind(await next_batch(feed, reader.version), kind):
            reader.handle(event)
    return reader, holder.in_force


def check_resumption(kind: Kind | None) -> None:
    """Check that interruptions lose no change, for any changes and interruptions."""

    @PROPERTY
    @forall(st.lists(WEIGHTS, min_size=1, max_size=8), st.lists(st.integers(0, 4), max_size=8))
    def yields_resources_in_force(generations, event_counts):
        async def body() -> None:
            reader, in_force = await read_with_interruptions(generations, event_counts, kind)
            assert reader.has_resources_of(in_force, kind), (reader.resources, generations, event_counts)

        run_simulated(body)

    yields_resources_in_force()


@then("an api watch resumed after any interruption yields the resources in force")
def interrupted_watch_misses_nothing(context):
    check_resumption(None)


@then("an api watch of one kind resumes like a watch of all kinds")
def filtered_watch_misses_nothing(context):
    for kind in (Kind.BACKEND, Kind.SERVICE):
        check_resumption(kind)


@given("an api feed at generation {generation:d}")
def api_feed(context, generation):
    context.feed_configuration = FakeNode(generation_of(generation, {1: 1})).configuration
    context.feed = ConfigurationFeed(lambda: context.feed_configuration.in_force)


def pass_generations(context, count: int, weights_of: Callable[[int], dict[int, int]]) -> None:
    """Put successive generations in force."""
    for number in range(context.feed.version + 1, context.feed.version + 1 + count):
        context.feed_configuration.in_force = generation_of(number, weights_of(number))
        context.feed.poll()


@when("nothing changes for the bookmark interval on the api watch from {version:d}")
def silent_watch(context, version):
    async def body() -> None:
        started = trio.current_time()
        context.api_batch = await next_batch(context.feed, version)
        assert trio.current_time() - started == BOOKMARK_INTERVAL_S

    run_simulated(body)


@then("the api watch yields a bookmark of generation {generation:d}")
def watch_yields_bookmark(context, generation):
    assert context.api_batch == (WatchEvent(ChangeType.BOOKMARK, generation, generation),)


@when("{count:d} generations pass before the api watch from {version:d} is read again")
def slow_reader(context, count, version):
    context.api_batches = []

    async def body() -> None:
        async with aclosing(context.feed.watch(version)) as batches:
            pass_generations(context, 1, lambda number: {1: number})
            await anext(batches)
            pass_generations(context, count, lambda number: {1: number})
            with trio.move_on_after(BOOKMARK_INTERVAL_S / 2):
                context.api_batches = [batch async for batch in batches]

    run_simulated(body)


@then("the api watch ends with a gone event")
def watch_ends_with_gone(context):
    assert [event.type for batch in context.api_batches for event in batch] == [ChangeType.GONE]


@when("each of {count:d} generations changes {size:d} resources of the api feed")
def large_generations(context, count, size):
    pass_generations(context, count, lambda number: dict.fromkeys(range(1, size + 1), number))


@then("the api feed cannot resume from {version:d} but from the generation before last")
def feed_is_bounded(context, version):
    assert not context.feed.can_resume(version)
    assert context.feed.can_resume(context.feed.version - 1)


@given("an api served on loopback with a limit of {limit:d} watch")
def served_with_limit(context, limit):
    context.served_settings = ApiSettings(watch_limit=limit)


@given("an api served on loopback with a certificate")
def served_with_certificate(context):
    context.served_settings = ApiSettings(
        tls_certificate=str(CERTIFICATES / "certificate.pem"), tls_key=str(CERTIFICATES / "key.pem")
    )


def on_loopback(context, body: Callable[[FakeNode, str], Awaitable[None]]) -> None:
    """Serve an API and run `body` with its node and URL."""

    async def serve_and_run() -> None:
        node = FakeNode(generation_of(7, {1: 1}))
        logger, _ = silent_logger()
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                urls = await nursery.start(
                    serve_api, FakeState(node), context.served_settings, LOOPBACK, logger
                )
                await body(node, urls[0])
                nursery.cancel_scope.cancel()

    trio.run(serve_and_run)


@when("an api watch is open on loopback")
def open_watch(context):
    async def body(node: FakeNode, url: str) -> None:
        async with httpx.AsyncClient(base_url=url) as client:
            async with client.stream("GET", "/v1/watch?resource_version=7") as answer:
                context.refused_status = (await client.get("/v1/watch")).status_code
                node.configuration.in_force = generation_of(8, {1: 2})
                async for line in answer.aiter_lines():
                    context.open_watch_line = msgspec.json.decode(line, type=WatchEvent)
                    break
            context.watch_is_accepted = await is_accepted(client)

    async def is_accepted(client: httpx.AsyncClient) -> bool:
        while True:
            async with client.stream("GET", "/v1/watch") as answer:
                if answer.status_code == 200:
                    return True
            await trio.sleep(0.01)

    on_loopback(context, body)


@then("another api watch is refused with {status:d} on loopback")
def other_watch_is_refused(context, status):
    assert context.refused_status == status


@then("a change reaches the open api watch on loopback")
def change_reaches_watch(context):
    event = context.open_watch_line
    assert (event.type, event.resource_version) == (ChangeType.MODIFIED, 8)
    assert event.resource.spec.weight == 2


@then("after it is closed another api watch is accepted on loopback")
def closed_watch_is_not_counted(context):
    assert context.watch_is_accepted


@then("a client that trusts the certificate can read its status over TLS")
def read_over_tls(context):
    async def body(node: FakeNode, url: str) -> None:
        trusting = ssl.create_default_context(cafile=CERTIFICATES / "certificate.pem")
        async with httpx.AsyncClient(verify=trusting) as client:
            answer = await client.get(f"{url}/v1/status")
            assert answer.json()["name"] == "b1"

    on_loopback(context, body)


@then("the api on loopback does not answer plain HTTP")
def plain_is_not_answered(context):
    async def body(node: FakeNode, url: str) -> None:
        async with httpx.AsyncClient() as client:
            try:
                answer = await client.get(url.replace("https", "http") + "/v1/status")
            except httpx.TransportError:
                return
            raise AssertionError(answer)

    on_loopback(context, body)

"""Steps for the operators' commands; servers run on loopback in threads."""

from __future__ import annotations

import contextlib
import io
import itertools
import json
import os
import tempfile
import threading
from pathlib import Path

import msgspec
import trio
import yaml
from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from starlette.responses import Response
from starlette.routing import Route

from sloepond.api.application import ResourceListing
from sloepond.api.changes import ChangeType, WatchEvent, listing_events
from sloepond.api.errors import ErrorBody, ErrorCode
from sloepond.api.resource_status import with_status
from sloepond.api.status import BalancerStatus
from sloepond.cli import endpoints, exit_codes
from sloepond.cli.fleet import combine_statuses, lagging
from sloepond.cli.main import run
from sloepond.core.status import PeerReport
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.model import Backend, BackendState, Zone, ZoneState
from sloepond.resources.validation import validate_values
from sloepond.standins.http import json_response, make_application, serve_http
from sloepond.standins.platform import ModeRequest, PlatformMode, PlatformService, PlatformState

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
INVALID_RESOURCE = """
apiVersion: sloepond/v2
kind: Backend
metadata: {name: Upper, extra: 1}
spec: {service: none, address: nowhere, slots: 0}
"""
VARIABLES = (
    endpoints.PLATFORM_VARIABLE,
    endpoints.API_VARIABLE,
    endpoints.TOKEN_VARIABLE,
    endpoints.CA_FILE_VARIABLE,
)
EXIT_CODES = (
    exit_codes.OK,
    exit_codes.REFUSED,
    exit_codes.BAD_INPUT,
    exit_codes.NOT_IN_FORCE,
    exit_codes.UNREACHABLE,
)


class BackgroundServer:
    """Serves one application in a separate thread."""

    def __init__(self, application) -> None:
        self._application = application
        self._ready = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=[self._serve], daemon=True)
        self._thread.start()
        assert self._ready.wait(10)

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            self.url = await nursery.start(serve_http, self._application, "127.0.0.1:0")
            self._token = trio.lowlevel.current_trio_token()
            self._scope = nursery.cancel_scope
            self._ready.set()

    def stop(self) -> None:
        self._token.run_sync_soon(self._scope.cancel)
        self._thread.join()


def serve(context, application) -> str:
    server = BackgroundServer(application)
    context.add_cleanup(server.stop)
    return server.url


def run_cli(arguments: list) -> tuple:
    """Return exit code, standard output and standard error of one command."""
    output, errors = io.StringIO(), io.StringIO()
    saved = {name: os.environ.pop(name) for name in VARIABLES if name in os.environ}
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = run(arguments)
    except SystemExit as ended:
        code = ended.code or 0
    finally:
        os.environ.update(saved)
    return code, output.getvalue(), errors.getvalue()


def names_of(context) -> dict:
    if "names" not in context:
        context.names = {"examples": str(EXAMPLES)}
    return context.names


@given("a cli resources file with 7 errors")
def invalid_file(context):
    with tempfile.NamedTemporaryFile("w", suffix=".yaml", delete=False) as file:
        file.write(INVALID_RESOURCE)
    context.add_cleanup(os.unlink, file.name)
    names_of(context)["file"] = file.name


@given("a cli platform stand-in")
def start_platform(context):
    context.platform = PlatformState()
    names_of(context)["platform"] = serve(context, PlatformService(context.platform).application)


@given('cli balancers "{names}" that use the configuration of that platform')
def start_balancers(context, names):
    context.members = tuple(names.split(", "))
    context.fixed_generations = {}
    context.suspected = set()
    for name in context.members:
        names_of(context)[name] = serve(context, FakeBalancer(context, name).application)


class FakeBalancer:
    """The API of a balancer whose configuration is the platform's newest one."""

    def __init__(self, context, name: str) -> None:
        self._fleet = {
            "platform": context.platform,
            "members": context.members,
            "fixed": context.fixed_generations,
            "suspected": context.suspected,
        }
        self._name = name
        self.application = make_application(
            [
                Route("/v1/status", self._status),
                Route("/v1/resources", self._resources),
                Route("/v1/resources/{kind}/{name}", self._missing),
                Route("/v1/watch", self._watch),
            ]
        )

    def _generation(self, name: str) -> int:
        return self._fleet["fixed"].get(name, self._fleet["platform"].latest.generation)

    async def _status(self, _request) -> Response:
        generations = {name: self._generation(name) for name in self._fleet["members"]}
        return json_response(make_status(self._name, generations, self._fleet["suspected"]))

    async def _resources(self, request) -> Response:
        configuration = CompiledConfiguration(self._fleet["platform"].latest)
        kind = request.query_params.get("kind")
        listed = [with_status(item, configuration) for item in configuration.snapshot.resources]
        chosen = tuple(item for item in listed if kind in (None, type(item).__name__))
        return json_response(ResourceListing(chosen, configuration.generation))

    async def _missing(self, request) -> Response:
        return json_response(ErrorBody(ErrorCode.NOT_FOUND, request.path_params["name"]), 404)

    async def _watch(self, request) -> Response:
        kind = request.query_params["kind"]
        events = listing_events(CompiledConfiguration(self._fleet["platform"].latest))
        chosen = [event for event in events if type(event.resource).__name__ == kind]
        chosen.append(WatchEvent(ChangeType.GONE, 1, 1))
        return Response(b"".join(msgspec.json.encode(event) + b"\n" for event in chosen))


def make_status(name: str, generations: dict, suspected: set) -> BalancerStatus:
    """Return the status of `name`, with reports on the others in `generations`."""
    peers = tuple(
        PeerReport(peer, "127.0.0.1:1", "active", 1, generation, "", 0, 0.1, peer in suspected)
        for peer, generation in generations.items()
        if peer != name
    )
    members = tuple(sorted(generations))
    return BalancerStatus(name, 1, "h", "active", 1, members, True, generations[name], "", 0, 0, peers, ())


@given('the cli balancer "{name}" remains at generation {generation:d}')
def fix_generation(context, name, generation):
    context.fixed_generations[name] = generation


@given('the cli balancer "{name}" is suspected by the others')
def suspect(context, name):
    context.suspected.add(name)


@when('the cli runs "{arguments}"')
def run_arguments(context, arguments):
    filled = [argument.format(**names_of(context)) for argument in arguments.split()]
    context.code, context.output, context.errors = run_cli(filled)


@when("the cli platform returns generation {generation:d} to readers")
def make_stale(context, generation):
    assert context.platform.set_mode(ModeRequest(PlatformMode.STALE, generation)) is None


@then('the cli ends with code {code:d} and prints "{text}"')
def ends_and_prints(context, code, text):
    assert context.code == code, (context.code, context.errors)
    assert text in context.output, context.output


@then('the cli ends with code {code:d} and reports "{text}"')
def ends_and_reports(context, code, text):
    assert context.code == code, (context.code, context.errors)
    assert text in context.errors, context.errors
    assert "Traceback" not in context.errors
    assert context.errors.splitlines()[-1].startswith("sloepond: ")


@then("the cli ends with code {code:d} and reports {count:d} findings, each with file, document and line")
def reports_findings(context, code, count):
    assert context.code == code
    *findings, closing = context.errors.splitlines()
    assert closing == f"sloepond: {count} findings", context.errors
    place = names_of(context)["file"]
    assert len(findings) == count
    assert all(line.startswith(f"{place}:") and ": document 1: " in line for line in findings), findings


@then("the cli ends with code {code:d} and prints {count:d} findings as JSON")
def prints_findings(context, code, count):
    assert context.code == code
    findings = json.loads(context.output)["findings"]
    assert len(findings) == count
    assert all(finding["line"] and finding["field"] and finding["reason"] for finding in findings), findings


@then("the cli platform has generation {generation:d}")
def platform_generation(context, generation):
    assert context.platform.latest.generation == generation


@then('the cli platform has "{name}" as its only draining back end')
def only_draining(context, name):
    backends = [item for item in context.platform.latest.resources if isinstance(item, Backend)]
    draining = [item.metadata.name for item in backends if item.spec.state is BackendState.DRAINING]
    assert (draining, len(backends)) == ([name], 10)


@then("the cli platform has no draining back end and no evacuated zone")
def nothing_is_drained(context):
    resources = context.platform.latest.resources
    states = [item.spec.state for item in resources if isinstance(item, Backend | Zone)]
    assert set(states) == {BackendState.ACTIVE, ZoneState.ACTIVE}


@then('the cli platform allows no new flows to the back ends of zone "{zone}"')
def zone_evacuated(context, zone):
    compiled = CompiledConfiguration(context.platform.latest)
    inside = [item for item in compiled.backends_by_name.values() if item.location.zone == zone]
    assert len(inside) == 10
    assert not any(item.accepts_new_flows for item in inside)
    assert not any(service.eligible_backends for service in compiled.services_by_name.values())


@then('the cli printed the {count:d} resources in force as "{output}"')
def printed_resources(context, count, output):
    if output == "json":
        values = json.loads(context.output)["resources"]
    else:
        values = list(yaml.safe_load_all(context.output))
    assert [item.pop("status")["generation"] for item in values] == [1] * count
    validated = validate_values(values)
    assert validated.resources == context.platform.latest.resources, validated.findings


@then("the cli printed {count:d} lines")
def printed_lines(context, count):
    assert len(context.output.splitlines()) == count, context.output


@then("the cli ends with code 0 and its help names every exit code")
def help_names_codes(context):
    assert context.code == 0
    lines = context.output.partition("exit codes:")[2].partition("\n\n")[0].splitlines()
    assert [int(line.split()[0]) for line in lines if line.strip()] == list(EXIT_CODES), lines


@then("for any cli arguments the exit code is documented and only a failure prints an error")
def any_arguments(context):
    url = "http://127.0.0.1:1"
    options = [
        ["--wait"],
        ["--timeout", "0"],
        ["-o", "json"],
        ["--since", "x"],
        ["--"],
        ["--api=x"],
        ["--token"],
    ]
    options += [["--api", url], ["--platform", url], ["--platform=http://["], [f"--api={url}/\n"]]
    options += [[word] for word in ("backend", "missing.yaml", str(EXAMPLES / "accra"))]
    commands = st.sampled_from(["check", "apply", "get", "watch", "status", "drain", "undrain", "version"])
    # Without dots and slashes, a word is not the path of an existing directory.
    text = st.text(st.characters(exclude_characters="./"), min_size=1, max_size=3)
    words = st.lists(st.sampled_from(options) | text.map(lambda word: [word]), max_size=4)
    codes = set()

    @settings(derandomize=True, deadline=None, database=None, max_examples=80)
    @for_any(commands, words)
    def check(command, arguments):
        code, _, errors = run_cli([command, *itertools.chain(*arguments)])
        assert code in EXIT_CODES, code
        assert "Traceback" not in errors, errors
        assert bool(errors) == (code != exit_codes.OK), (code, errors)
        codes.add(code)

    check()
    assert {exit_codes.REFUSED, exit_codes.BAD_INPUT, exit_codes.UNREACHABLE} <= codes, codes


@then("for any cli arguments repeated API options are joined and the others keep their order")
def api_options(context):
    url = st.sampled_from(["u1", "u2", "u3"])
    pieces = st.one_of(
        st.sampled_from([["x"], ["--wait"], ["--timeout", "3"]]),
        url.map(lambda value: ["--api", value]),
        url.map(lambda value: [f"--api={value}"]),
    )

    @settings(derandomize=True, deadline=None, database=None, max_examples=100)
    @for_any(st.lists(pieces, max_size=6))
    def check(chosen):
        merged = endpoints.merge_api_options([word for piece in chosen for word in piece])
        urls = [piece[-1].removeprefix("--api=") for piece in chosen if piece[0].startswith("--api")]
        others = [word for piece in chosen if not piece[0].startswith("--api") for word in piece]
        assert merged == others + ([f"--api={','.join(urls)}"] if urls else [])
        assert endpoints.parse_api_urls(",".join(urls)).urls == tuple(urls)

    check()


@then("for any cli statuses a balancer lags if its own or else highest reported generation is older")
def fleet_property(context):
    generations = st.fixed_dictionaries({name: st.integers(0, 3) for name in "abcd"})
    fleet_reports = st.dictionaries(st.sampled_from("abcd"), generations, min_size=1)

    @settings(derandomize=True, deadline=None, database=None, max_examples=200)
    @for_any(fleet_reports, st.integers(1, 3))
    def check(reports, generation):
        statuses = [make_status(name, known, set()) for name, known in reports.items()]
        expected = set()
        for name in "abcd":
            best = reports[name][name] if name in reports else max(known[name] for known in reports.values())
            if best < generation:
                expected.add(name)
        behind = {report.name for report in lagging(combine_statuses(statuses), generation)}
        assert behind == expected, (behind, expected)

    check()

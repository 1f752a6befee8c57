"""Steps for declared resources: loading, validation and findings."""

from __future__ import annotations

import copy
import json
import tempfile
from collections import Counter
from operator import itemgetter
from pathlib import Path

import msgspec
import yaml
from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.resources.addresses import canonical_address
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.content import make_snapshot
from sloepond.resources.documents import parse_text
from sloepond.resources.layered import LayeredMapping
from sloepond.resources.loading import load_resources
from sloepond.resources.model import API_VERSION, Backend, BackendSpec, Hall, Metadata, Status
from sloepond.resources.slices import run_to_completion
from sloepond.resources.sorted_items import SortedItems
from sloepond.resources.typed_rules import has_valid_fields, is_canonical_address
from sloepond.resources.validation import validate_snapshot, validate_values

ROOT = Path(__file__).resolve().parents[2]
CITY_RESOURCES = [
    msgspec.to_builtins(resource) for resource in load_resources([ROOT / "examples" / "accra"]).resources
]
TEXT = st.text(st.characters(), max_size=3) | st.just("long" * 1000)
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | TEXT
ARBITRARY_VALUES = st.recursive(
    SCALARS, lambda inner: st.lists(inner, max_size=2) | st.dictionaries(TEXT, inner, max_size=2)
)


def property_settings(examples: int) -> settings:
    return settings(derandomize=True, deadline=None, database=None, max_examples=examples)


def document(kind: str, name: str, **spec: object) -> dict:
    return {"apiVersion": API_VERSION, "kind": kind, "metadata": {"name": name}, "spec": spec}


@when('the resources in "{path}" are loaded')
def load_example(context, path):
    context.loaded = load_resources([ROOT / path])


@then("no resources finding is reported")
def has_no_findings(context):
    assert not context.loaded.findings, context.loaded.findings


@then('the resources declare {halls:d} halls, {first:d} back ends of "{one}" and {second:d} of "{other}"')
def declares_halls_and_backends(context, halls, first, one, second, other):
    resources = context.loaded.resources
    backends = [resource.spec for resource in resources if isinstance(resource, Backend)]
    services = [spec.service for spec in backends]
    assert sum(isinstance(resource, Hall) for resource in resources) == halls
    assert (services.count(one), services.count(other), len(services)) == (first, second, first + second)
    assert {(spec.slots, spec.connections) for spec in backends} == {(2, 2000)}


@given('a resources file "{name}" with the lines')
def write_file(context, name):
    if "folder" not in context:
        holder = tempfile.TemporaryDirectory(prefix="sloepond-resources-")
        context.add_cleanup(holder.cleanup)
        context.folder = Path(holder.name)
    (context.folder / name).write_text(context.text, encoding="utf-8")


@when("that resources file is loaded")
def load_folder(context):
    context.loaded = load_resources([context.folder])


@when('those resources files and the missing file "{name}" are loaded')
def load_folder_and_missing(context, name):
    context.loaded = load_resources([context.folder, context.folder / name])


@then("these resources findings and no others are reported")
def exact_findings(context):
    reported = list(context.loaded.findings)
    for row in context.table:
        matching = [
            finding
            for finding in reported
            if (str(finding.line), str(finding.document), finding.field)
            == (row["line"], row["document"], row["field"])
            and row["reason"] in finding.reason
        ]
        assert matching, (row.cells, [str(finding) for finding in reported])
        reported.remove(matching[0])
    assert not reported, reported


@then('a resources finding is reported for each of "{names}"')
def findings_of_files(context, names):
    files = {Path(finding.file).name for finding in context.loaded.findings}
    assert files == set(names.split(", ")), files


@given("the resources of the city accra")
def city_resources(context):
    context.values = [
        *copy.deepcopy(CITY_RESOURCES),
        document("Region", "togo"),
        document("Zone", "lome", region="togo"),
    ]


@when('in the resources each "{kind}" of "{service}" gets "{field}" {value}')
def change_spec(context, kind, service, field, value):
    for item in context.values:
        named = item["spec"].get("service") if kind == "Backend" else item["metadata"]["name"]
        if item["kind"] == kind and named == service:
            item["spec"][field] = json.loads(value)
    context.findings = validate_values(context.values).findings


@when("a resources declaration contains a status")
def declare_status(context):
    context.values[0]["status"] = {"generation": 7}
    resources = [
        msgspec.convert(CITY_RESOURCES[0] | {"status": {"generation": 7}}, Backend),
        *typed(CITY_RESOURCES[1:]),
    ]
    context.findings = validate_snapshot(resources)


@then('the resources findings are "{reason}"')
def findings_are(context, reason):
    assert [finding.reason for finding in context.findings] == [reason], context.findings


def typed(values: list) -> tuple:
    return validate_values(values).resources


@then("for any resources places, states and weights validation agrees with a search of all pairs")
def reachability_agrees(context):
    places = st.lists(st.sampled_from(["a", "b", "c"]), max_size=3, unique=True)
    targets = st.tuples(st.sampled_from("abc"), st.sampled_from(["active", "draining"]), st.integers(0, 1))

    @property_settings(150)
    @for_any(places, places, st.lists(targets, max_size=4))
    def check(permitted, denied, backends):
        values = [document("Region", "r"), document("Zone", "z", region="r")]
        values += [document("Hall", name, zone="z") for name in "abc"]
        permitted_places = [{"hall": name} for name in permitted]
        denied_places = [{"hall": name} for name in denied]
        address = "127.0.0.1:1"
        values.append(
            document("Service", "s", address=address, permitted=permitted_places, denied=denied_places)
        )
        for index, (hall, state, weight) in enumerate(backends):
            spec = {"address": f"127.0.0.2:{index + 1}", "hall": hall, "state": state, "weight": weight}
            values.append(document("Backend", f"b{index}", service="s", **spec))
        reachable = any(
            hall in permitted and hall not in denied and state == "active" and weight > 0
            for hall, state, weight in backends
        )
        reasons = [finding.reason for finding in validate_values(values).findings]
        assert reachable == (not reasons), reasons
        assert all(reason.startswith("unreachable") for reason in reasons), reasons

    check()


def set_field(kind: str, name: str, path: tuple, value: object):
    """Return a function that sets one field of one resource to an invalid value."""

    def apply(values: list) -> tuple[str, str]:
        item = next(item for item in values if item["kind"] == kind and item["metadata"]["name"] == name)
        for step in path[:-1]:
            item = item[step]
        item[path[-1]] = value
        return (f"{kind}/{name}", ".".join(path))

    return apply


ERRORS = [
    set_field("Region", "ghana", ("extra",), 1),
    set_field("Zone", "accra", ("spec", "regoin"), "ghana"),
    set_field("Hall", "osu", ("metadata", "labels"), "none"),
    set_field("Service", "playback", ("spec", "address"), "127.0.100.1"),
    set_field("Service", "playback", ("spec", "limits", "flows"), -1),
    set_field("Service", "archive", ("spec", "repeatable_by_default"), "yes"),
    set_field("Service", "archive", ("spec", "protocol"), "tcp"),
    set_field("Backend", "playback-1", ("spec", "hall"), "nowhere"),
    set_field("Backend", "playback-2", ("spec", "service"), "nothing"),
    set_field("Backend", "playback-4", ("spec", "address"), "127.0.10.3:7000"),
    set_field("Backend", "playback-5", ("spec", "slots"), 0),
    set_field("Backend", "playback-6", ("spec", "weight"), 10_001),
    set_field("Backend", "playback-7", ("spec", "state"), "leaving"),
    set_field("Backend", "archive-1", ("apiVersion",), "sloepond/v0"),
    set_field("Backend", "archive-2", ("status",), {"generation": 1}),
]


@then("for any set of independent resources errors each one is reported at its field")
def errors_are_all_reported(context):
    @property_settings(80)
    @for_any(st.sets(st.sampled_from(range(len(ERRORS))), min_size=1))
    def check(chosen):
        values = copy.deepcopy(CITY_RESOURCES)
        expected = {ERRORS[index](values) for index in chosen}
        findings = validate_values(values).findings
        reported = {(finding.resource, finding.field) for finding in findings}
        assert reported == expected, reported ^ expected

    check()


def mutate(draw, values: list) -> None:
    """Replace, delete or add one value at a drawn position in `values`."""
    container, key = values, draw(st.integers(0, len(values) - 1))
    while isinstance(container[key], dict | list) and container[key] and draw(st.integers(0, 3)):
        container = container[key]
        keys = sorted(container) if isinstance(container, dict) else range(len(container))
        key = draw(st.sampled_from(list(keys)))
    action = draw(st.sampled_from(["replace", "swap", "delete", "add"]))
    if action == "delete":
        del container[key]
    elif action == "swap":
        container[key] = copy.deepcopy(draw(st.sampled_from(values)))
    elif action == "add" and isinstance(container, dict):
        container[draw(TEXT)] = draw(ARBITRARY_VALUES)
    else:
        container[key] = draw(ARBITRARY_VALUES)


@then("for any mutation of valid resources validation returns findings or a snapshot that compiles")
def mutations_are_handled(context):
    accepted = []

    @property_settings(200)
    @for_any(st.data())
    def check(data):
        values = copy.deepcopy(CITY_RESOURCES)
        for _ in range(data.draw(st.integers(0, 3))):
            mutate(data.draw, values)
            values = values or [None]
        validated = validate_values(values)
        lines = {str(finding) for finding in validated.findings}
        assert len(lines) == len(validated.findings)
        assert all(line.isprintable() and len(line) < 1000 for line in lines), lines
        assert msgspec.json.encode(validated.findings)
        if validated.findings:
            return
        accepted.append(values)
        assert len(validated.resources) == len(values)
        assert not validate_snapshot(validated.resources)
        compiled = CompiledConfiguration(make_snapshot(1, list(validated.resources)))
        addresses = [*compiled.services_by_address, *compiled.backends_by_address]
        assert len(set(addresses)) == len(addresses)
        assert all(service.eligible_backends for service in compiled.services_by_name.values())

    check()
    assert accepted


@then("for any resources text in YAML or JSON parsing returns documents or findings")
def any_text_is_parsed(context):
    pieces = st.sampled_from(
        ["kind: ", "- ", "---\n", "{", "}", "[", "]", "&a ", "*a", "!!int ", "? ", ": ", "\n"]
    )
    texts = st.lists(pieces | st.text(max_size=3), max_size=12).map("".join)
    parsed_kinds = set()

    @property_settings(250)
    @for_any(texts, st.sampled_from(["x.yaml", "x.json"]))
    def check(text, name):
        parsed = parse_text(text, name)
        validated = validate_values([item.value for item in parsed.documents])
        assert len(validated.findings) >= bool(parsed.documents and not validated.resources)
        parsed_kinds.add((bool(parsed.documents), bool(parsed.findings)))

    check()
    assert {(True, False), (False, True)} <= parsed_kinds
    nested_aliases = "a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]\n"
    refused = ["[" * 50_000, "a: 2001-99-99", nested_aliases, "[" * 20 + "]" * 20]
    for text in refused:
        assert parse_text(text, "x.yaml").findings, text[:20]
    assert parse_text(refused[0], "x.json").findings


@then("for any order of valid resources both formats give the same snapshot")
def round_trip(context):
    expected = make_snapshot(1, list(typed(CITY_RESOURCES))).digest

    @property_settings(20)
    @for_any(st.permutations(CITY_RESOURCES))
    def check(values):
        texts = {
            "x.json": json.dumps(values),
            "y.json": json.dumps({"resources": values}),
            "x.yaml": yaml.safe_dump_all(values),
        }
        for name, text in texts.items():
            validated = validate_values([item.value for item in parse_text(text, name).documents])
            assert not validated.findings, validated.findings
            assert make_snapshot(1, list(validated.resources)).digest == expected

    check()


def mostly(value, others):
    return st.integers(0, 5).flatmap(lambda number: others if number == 5 else st.just(value))


@then("for any values of a back end the typed resources check agrees with full validation")
def typed_check_agrees(context):
    octets = st.integers(0, 260).map(str) | st.sampled_from(["00", "01", "224", "240", "255"])
    ports = st.integers(0, 70_000).map(str) | st.sampled_from(["00", "080"])
    address = st.integers(0, 250).map("10.9.200.{}:65535".format)
    plain = st.builds("{}.{}.{}.{}:{}".format, octets, octets, octets, octets, ports)
    addresses = plain | st.sampled_from(["[::1]:7", "[0::1]:7", "::1:7", "1.2.3.4", "1.2.3.4:7\n"]) | TEXT
    names = mostly("a-1", st.sampled_from(["-a", "a-", "A", "a" * 63, "a" * 64, "a\n"]))
    specs = st.builds(
        BackendSpec,
        st.just("playback"),
        address | addresses,
        st.just("osu"),
        slots=mostly(2, st.sampled_from([0, 1, 100_000, 100_001])),
        connections=mostly(2, st.sampled_from([0, 1, 10_000_001])),
        weight=mostly(2, st.sampled_from([-1, 0, 10_000, 10_001])),
    )
    versions = mostly(API_VERSION, st.just("sloepond/v0"))
    statuses = mostly(Status(), st.sampled_from([Status(1), Status(0, "x")]))
    verdicts = Counter()

    @property_settings(400)
    @for_any(st.builds(Backend, versions, names.map(Metadata), specs, statuses))
    def check(backend):
        findings = validate_snapshot((*typed(CITY_RESOURCES), backend))
        if any("is used by" in finding.reason for finding in findings):
            return
        assert has_valid_fields(backend) == (not findings), (backend, findings)
        verdicts[not findings] += 1
        verdicts["plain"] += is_canonical_address(backend.spec.address)

    check()
    assert min(verdicts[True], verdicts[False], verdicts["plain"]) > 20, verdicts
    for address in edge_addresses():
        assert is_canonical_address(address) == (canonical_address(address) == address), address


def edge_addresses():
    """Yield addresses with every number in each octet, and with ports around the limits."""
    ports = (0, 1, 9, 10, 99, 999, 9_999, 10_000, 59_999, 60_000, 65_535, 65_536, 99_999, 100_000)
    for number in (*map(str, range(300)), "00", "01", "001", "", "-1", "\u0661"):
        yield from (f"{number}.2.3.4:5", f"1.{number}.3.4:5", f"1.2.{number}.4:5", f"1.2.3.{number}:5")
    yield from (f"1.2.3.4:{port}" for port in (*ports, "080", "", "\u0661"))


@then("for any edits the resources sequence and mapping equal a list and a dictionary")
def edited_structures_agree(context):
    counts = st.sampled_from((0, 1, 5, 400, 1_200))
    numbers = st.builds(spaced_range, st.integers(0, 2_000), counts, st.integers(1, 5))
    edits = st.lists(st.tuples(numbers, numbers), min_size=1, max_size=4)

    @property_settings(100)
    @for_any(st.integers(0, 1_500), edits)
    def check(count, chosen):
        expected = dict.fromkeys(range(0, 2 * count, 2), 0)
        mapping = LayeredMapping(dict(expected))
        sequence = SortedItems(sorted(expected.items()), itemgetter(0))
        for version, (removed, added) in enumerate(chosen, start=1):
            former = dict(expected), mapping, sequence
            expected = {key: expected[key] for key in expected if key not in removed}
            expected |= dict.fromkeys(added, version)
            mapping = mapping.edited(removed, dict.fromkeys(added, version))
            items = [(key, version) for key in reversed(added)]
            sequence = run_to_completion(sequence.edited_slices(removed, items))
            assert_same(*former)
            assert_same(expected, mapping, sequence)

    check()


def spaced_range(start, count, step):
    return range(start, start + count * step, step)


def assert_same(expected, mapping, sequence):
    ordered = sorted(expected.items())
    assert dict(mapping) == expected
    assert len(mapping) == len(expected)
    assert [key for key in range(0, 3_000, 7) if key in mapping] == [
        key for key in range(0, 3_000, 7) if key in expected
    ]
    assert list(sequence) == ordered
    assert len(sequence) == len(ordered)
    assert sequence == tuple(ordered)
    assert sequence[5:600] == tuple(ordered[5:600])
    assert [sequence[index] for index in range(0, len(ordered), 13)] == ordered[::13]

"""Steps that compare the project's documents with the code."""

from __future__ import annotations

import importlib
import inspect
import re
import shlex
from collections.abc import Iterator
from pathlib import Path

import msgspec
from api_fakes import FakeNode, FakeState, configuration, default_resources, silent_logger
from behave import then
from forwarding_model import Harness
from prometheus_client.parser import text_string_to_metric_families

from sloepond.api.application import create_app
from sloepond.api.errors import HTTP_STATUS
from sloepond.api.feed import ConfigurationFeed
from sloepond.api.metrics import Metrics
from sloepond.cli import exit_codes
from sloepond.cli.main import INTERRUPTED, command_tree
from sloepond.core.commands import TransitionKind
from sloepond.core.forwarding.commands import LogKind
from sloepond.core.packets import Reason
from sloepond.resources.documents import parse_text
from sloepond.resources.validation import validate_documents
from sloepond.runtime.exit_code import ExitCode
from sloepond.runtime.forwarding.metrics import metrics_page
from sloepond.runtime.settings import ApiSettings, BalancerSettings
from sloepond.runtime.settings_file import check_settings
from sloepond.wire.describe import describe

ROOT = Path(__file__).resolve().parents[2]
DOCUMENTS = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
OPERATING = ROOT / "docs" / "OPERATIONS.md"
ARCHITECTURE = ROOT / "docs" / "ARCHITECTURE.md"
"""A page whose metrics are those of the platform's process."""
BALANCER_HEADING = "\n## See what is going on\n"
"""Heading of the operations page that ends the part on the platform's process and starts the part on
`sloepond balancer`."""

CODE_BLOCK = re.compile(r"^```(\w*)\n(.*?)^```", re.MULTILINE | re.DOTALL)
INLINE = re.compile(r"`([^`\n]+)`")
LINK = re.compile(r"\[[^\]]+\]\(([^)\s]+)\)")
HEADING = re.compile(r"^#+ (.+)$", re.MULTILINE)
SETTING = re.compile(r"`((?:node|api|log|platform)\.[a-z_.]+)`")
METRIC = re.compile(r"\b(?:sloepond|process)_[a-z_]+\b")
HELP = "help"


def code_lines(document: Path) -> Iterator[str]:
    """Yield every line of code in a document, in code blocks and in inline code."""
    yield from code_lines_of(document.read_text())


def code_lines_of(text: str) -> Iterator[str]:
    """Yield every line of code in a text, in code blocks and in inline code."""
    for _, block in CODE_BLOCK.findall(text):
        yield from re.sub(r"\\\n", " ", block).splitlines()
    yield from INLINE.findall(CODE_BLOCK.sub("", text))


def blocks(language: str) -> list[tuple[str, str]]:
    """Return the code blocks of a language in all documents, each with the name of its document."""
    found = [
        (document.name, block)
        for document in DOCUMENTS
        for name, block in CODE_BLOCK.findall(document.read_text())
        if name == language
    ]
    assert found, language
    return found


def anchors_of(document: Path) -> set[str]:
    """Return the anchors of the headings of a document."""
    headings = HEADING.findall(CODE_BLOCK.sub("", document.read_text()))
    return {re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-") for heading in headings}


def table_cells(document: Path) -> set[str]:
    """Return the first two cells of every row of every table."""
    rows = [line.strip("|").split("|") for line in document.read_text().splitlines() if line.startswith("|")]
    return {cell.strip() for row in rows for cell in row[:2]}


def check_command(line: str) -> None:
    """Check that a command line names an existing command and only options of this command."""
    words = shlex.split(line, comments=True)[1:]
    if not words or words[0].startswith("-"):
        return
    node = command_tree(words[0])
    while isinstance(node, dict):
        assert words, f"no command: {line}"
        assert words[0] in node, f"no such command: {line}"
        node = node[words.pop(0)]
    parameters = set(inspect.signature(node).parameters) | {HELP}
    for word in words:
        if word.startswith("--"):
            name = word[2:].partition("=")[0].replace("-", "_")
            assert name in parameters, f"no option {word}: {line}"


@then("each sloepond command in the project's documents exists, with its options")
def commands_exist(context):
    lines = [line for document in DOCUMENTS for line in code_lines(document) if line.startswith("sloepond ")]
    assert len(lines) > 10, lines
    for line in lines:
        check_command(line)


@then("each make target in the project's documents is defined in the Makefile")
def make_targets_exist(context):
    targets = set(re.findall(r"^([\w./-]+):", (ROOT / "Makefile").read_text(), re.MULTILINE))
    named = {
        match.group(1)
        for document in DOCUMENTS
        for line in code_lines(document)
        if (match := re.match(r"make (\w+)", line))
    }
    assert {"demo", "test", "lint"} <= named, named
    assert named <= targets, named - targets


@then("each link in the project's documents points to an existing file and heading")
def links_resolve(context):
    for document in DOCUMENTS:
        for link in LINK.findall(CODE_BLOCK.sub("", document.read_text())):
            if "://" in link:
                continue
            path, _, anchor = link.partition("#")
            target = document.parent / path if path else document
            assert target.exists(), f"{document.name}: {link}"
            assert not anchor or anchor in anchors_of(target), f"{document.name}: {link}"


@then("the project's protocol page equals the description generated from the message types")
def protocol_is_current(context):
    page = (ROOT / "docs" / "PROTOCOL.md").read_text()
    assert page == describe(), "run `make protocol`"


@then("each TOML example in the project's documents is a valid settings file")
def settings_examples_are_valid(context):
    for name, block in blocks("toml"):
        findings = check_settings(block, name).findings
        assert not findings, [str(finding) for finding in findings]


@then("each YAML example in the project's documents has no findings")
def resource_examples_are_valid(context):
    for name, block in blocks("yaml"):
        parsed = parse_text(block, name)
        findings = [*parsed.findings, *validate_documents(parsed.documents).findings]
        assert parsed.documents
        assert not findings, [str(finding) for finding in findings]


@then("each setting in the project's documents exists in the settings file")
def settings_exist(context):
    named = SETTING.findall(OPERATING.read_text())
    assert len(named) > 5, named
    for name in named:
        struct: type = BalancerSettings
        for step in name.split("."):
            types = {field.name: field.type for field in msgspec.structs.fields(struct)}
            assert step in types, name
            struct = types[step]


@then("the project's operating page explains every reason sent to callers")
def reasons_are_explained(context):
    rows = OPERATING.read_text()
    missing = [reason.name for reason in Reason if f"| `{reason.name}` | {reason.value} |" not in rows]
    assert not missing, missing


@then("the project's operating page explains every error of the API")
def errors_are_explained(context):
    rows = OPERATING.read_text()
    missing = [code for code, status in HTTP_STATUS.items() if f"| `{code}` | {status} |" not in rows]
    assert not missing, missing


@then("the project's operating page explains every path of the API")
def paths_are_explained(context):
    node = FakeNode(configuration(1, default_resources()))
    feed = ConfigurationFeed(lambda: node.configuration.in_force)
    routes = create_app(FakeState(node), ApiSettings(), feed, silent_logger()[0]).routes
    requests = [cell.strip("`").split("?")[0] for cell in table_cells(OPERATING) if " /" in cell]
    for route in routes:
        pattern = re.sub(r"\{\w+\}", r"[\\w-]+", route.path)
        method = next(iter(route.methods))
        assert any(re.fullmatch(f"{method} {pattern}", request) for request in requests), route.path
    assert len(requests) == len(routes), requests


@then("the project's operating page explains every kind of log line")
def log_lines_are_explained(context):
    explained = {kind for cell in table_cells(OPERATING) for kind in INLINE.findall(cell)}
    kinds = [*TransitionKind, *(kind.value for kind in LogKind)]
    missing = [kind for kind in kinds if kind not in explained]
    assert not missing, missing


@then("the project's operating page explains every exit code")
def exit_codes_are_explained(context):
    text = OPERATING.read_text().partition("## Exit codes")[2]
    commands, _, balancer = text.partition("Of `sloepond balancer`")
    known = {value for value in vars(exit_codes).values() if isinstance(value, int)} | {INTERRUPTED}
    explained = set(map(int, re.findall(r"^\| (\d+) \|", commands, re.MULTILINE)))
    assert explained == known, (explained, known)
    of_balancer = set(map(int, re.findall(r"\b(\d+) (?:after|where)", balancer)))
    assert of_balancer == {int(code) for code in ExitCode}, of_balancer


@then("each metric in the project's documents is exported by a balancer")
def metrics_exist(context):
    state = FakeState(FakeNode(configuration(1, default_resources())))
    exported = sample_names(Metrics(state).render().decode())
    forwarding = sample_names(metrics_page(configured_node(), 100.0).body.decode())
    on_platform, heading, on_balancer = OPERATING.read_text().partition(BALANCER_HEADING)
    assert heading, BALANCER_HEADING
    other_pages = [page.read_text() for page in DOCUMENTS if page not in (OPERATING, ARCHITECTURE)]
    of_other_pages = metrics_named([on_balancer, *other_pages])
    of_forwarding = metrics_named([on_platform, ARCHITECTURE.read_text()])
    assert len(of_other_pages) > 20, of_other_pages
    assert of_other_pages <= exported, of_other_pages - exported
    assert of_forwarding and of_forwarding <= forwarding, of_forwarding - forwarding


def sample_names(text):
    """Return the names of the samples in the text of a metrics page."""
    return {sample.name for family in text_string_to_metric_families(text) for sample in family.samples}


def configured_node():
    """Return a forwarding node with routes and back ends."""
    return Harness().configure().node


def metrics_named(texts):
    """Return the metrics named in the code blocks and inline code of texts."""
    return {
        metric
        for text in texts
        for line in code_lines_of(text)
        if not line.startswith("sloepond ")
        for metric in METRIC.findall(line)
    }


@then("each dotted name in the project's glossary exists in the code")
def glossary_names_exist(context):
    glossary = ROOT / "docs" / "GLOSSARY.md"
    names = re.findall(r"`((?:core|resources|runtime|standins|lab|wire)(?:\.\w+)*)`", glossary.read_text())
    assert len(names) > 20, names
    for name in names:
        assert find_object(name) is not None, name


def find_object(name: str) -> object | None:
    """Return the module or object with a dotted name relative to the package, None if there is none."""
    module_name = f"sloepond.{name}"
    attributes: list[str] = []
    while True:
        try:
            found: object = importlib.import_module(module_name)
        except ModuleNotFoundError:
            module_name, _, attribute = module_name.rpartition(".")
            attributes.insert(0, attribute)
            if not module_name:
                return None
            continue
        for attribute in attributes:
            found = getattr(found, attribute, None)
        return found

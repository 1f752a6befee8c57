"""Steps that compare the page of decisions with the code."""

from __future__ import annotations

import importlib
import re
from pathlib import Path
from typing import NamedTuple

from behave import then
from forwarding_model import Harness

from sloepond.core.forwarding.commands import LogKind
from sloepond.runtime.forwarding.metrics import metrics_page

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "DECISIONS.md"
RULE = re.compile(r"^\| ([A-Z]\d+) \|(.*)\|$", re.MULTILINE)
MODULE = re.compile(r"\]\(\.\./(sloepond/[a-z_/]+)\.py\)")
CONSTANT = re.compile(r"`([A-Z][A-Z_]+)`(?: (\d{1,3}(?:,\d{3})+|\d+(?:\.\d+)?)(?:/(\d+))?)?")
SHOWN = re.compile(r"`([a-z_]+)`(?: with `([a-z_]+)`)?")
LEAST_RULES = 30


class Rule(NamedTuple):
    """A line of the table."""

    name: str
    constants: str
    modules: list[str]
    shown: str


def rules():
    """Return the lines of the table."""
    found = []
    for name, line in RULE.findall(PAGE.read_text()):
        cells = [cell.strip() for cell in line.split("|")]
        modules = [path.replace("/", ".") for path in MODULE.findall(cells[6])]
        found.append(Rule(name, cells[3], modules, cells[7]))
    assert len(found) >= LEAST_RULES
    return found


def first_value(value):
    """Return a constant's value, the first one of a table of them."""
    if isinstance(value, dict):
        value = tuple(value.values())
    return value[0] if isinstance(value, tuple) else value


@then("each constant on the project's page of decisions stands in a module of its rule, with its value")
def constants_have_values(context):
    for rule in rules():
        for name, whole, part in CONSTANT.findall(rule.constants):
            modules = [importlib.import_module(module) for module in rule.modules]
            holder = next((module for module in modules if hasattr(module, name)), None)
            assert holder is not None, (rule.name, name)
            if whole:
                said = float(whole.replace(",", "")) / float(part or 1)
                assert abs(said - first_value(getattr(holder, name))) < 1e-9, (rule.name, name)


@then(
    "each name by which a rule is shown on the project's page of decisions is one of a log line or a metric"
)
def shown_names_exist(context):
    harness = Harness().configure()
    for _ in range(4):
        next(iter(harness.node.backends)).latency.observe(0.05, harness.now)
    page = metrics_page(harness.node, harness.now).body.decode()
    metrics = set(re.findall(r"^sloepond_([a-z_]+?)(?:_total)?(?:\{.*\})? ", page, re.MULTILINE))
    events = {kind.value for kind in LogKind}
    for rule in rules():
        assert rule.shown, rule.name
        for name, _ in SHOWN.findall(rule.shown):
            assert name in metrics | events, (rule.name, name)

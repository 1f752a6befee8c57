"""Steps that compare the decisions page with the code."""

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
OBSERVABLE_NAME = re.compile(r"`([a-z_]+)`(?: with `([a-z_]+)`)?")
MINIMUM_RULES = 30


class Rule(NamedTuple):
    """A row of the table of rules."""

    name: str
    constants: str
    modules: list[str]
    observable_names: str


def rules():
    """Return the rows of the table of rules."""
    found = []
    for name, line in RULE.findall(PAGE.read_text()):
        cells = [cell.strip() for cell in line.split("|")]
        modules = [path.replace("/", ".") for path in MODULE.findall(cells[6])]
        found.append(Rule(name, cells[3], modules, cells[7]))
    assert len(found) >= MINIMUM_RULES
    return found


def first_value(value):
    """Return the value of a constant, or the first value if it is a dictionary or tuple."""
    if isinstance(value, dict):
        value = tuple(value.values())
    return value[0] if isinstance(value, tuple) else value


@then(
    "each constant on the project's decisions page is defined in a module of its rule, with the stated value"
)
def constants_have_values(context):
    for rule in rules():
        for name, value, divisor in CONSTANT.findall(rule.constants):
            modules = [importlib.import_module(module) for module in rule.modules]
            holder = next((module for module in modules if hasattr(module, name)), None)
            assert holder is not None, (rule.name, name)
            if value:
                stated = float(value.replace(",", "")) / float(divisor or 1)
                assert abs(stated - first_value(getattr(holder, name))) < 1e-9, (rule.name, name)


@then("each log event or metric on the project's decisions page is one that the code writes")
def observable_names_exist(context):
    harness = Harness().configure()
    for _ in range(4):
        next(iter(harness.node.backends)).latency.observe(0.05, harness.now)
    page = metrics_page(harness.node, harness.now).body.decode()
    metrics = set(re.findall(r"^sloepond_([a-z_]+?)(?:_total)?(?:\{.*\})? ", page, re.MULTILINE))
    events = {kind.value for kind in LogKind}
    for rule in rules():
        assert rule.observable_names, rule.name
        for name, _ in OBSERVABLE_NAME.findall(rule.observable_names):
            assert name in metrics | events, (rule.name, name)

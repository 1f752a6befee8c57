"""Steps that compare public names and formats with those recorded in features/interfaces."""

from __future__ import annotations

import json
import pathlib
import tomllib

import msgspec
import yaml
from behave import given, then
from interfaces_names import COLLECTORS, platform_settings, transitions

from sloepond.resources.loading import load_resources
from sloepond.runtime.settings_file import SettingsOverride, check_settings

FOLDER = pathlib.Path("features/interfaces")
EVERY_FIELD = FOLDER / "resources"
RECORDED = json.loads((FOLDER / "names.json").read_text(encoding="utf-8"))
COMPARED_KEYS = (
    "membership.seeds",
    "membership.machine_list_interval_s",
    "configuration",
    "stop.deadline_s",
)
"""Settings of the node whose values are compared; the others only have to be accepted."""


def plain(value):
    """Return a value as decoded from JSON, with all fields of structs, including those with defaults."""
    return json.loads(json.dumps(value, default=msgspec.structs.asdict))


def at(document, path):
    """Return the value at a path of names."""
    for name in path.split("."):
        document = document[name]
    return document


def check(text, overrides=()):
    """Check the text of a settings file with some overridden values."""
    given_values = tuple(SettingsOverride(tuple(path.split(".")), value) for path, value in overrides)
    return check_settings(text, "balancer.toml", given_values)


@then('interfaces: the names of "{what}" match the record')
def names_on_record(context, what):
    found = plain(COLLECTORS[what]())
    assert found == RECORDED[what], (what, found)


@then("interfaces: sloepond's own balancer still has the recorded log events")
def own_log_events(context):
    assert set(RECORDED["log events of its own balancer"]) <= set(transitions())


@then("interfaces: every recorded set of names is compared")
def all_compared(context):
    compared = {name for name in RECORDED if name in COLLECTORS}
    assert compared == set(COLLECTORS), compared
    written = (FOLDER / "names.feature").read_text(encoding="utf-8")
    assert all(f"| {name} " in written for name in COLLECTORS)


@given("interfaces: the recorded settings file of the platform")
def platform_file(context):
    context.platform_text = (FOLDER / "node.conf").read_text(encoding="utf-8")


@then("interfaces: its settings match the record")
def platform_values(context):
    found = plain(platform_settings(context.platform_text))
    assert found == RECORDED["platform settings"], found


@then("interfaces: each of its fields in the record changes the settings, and no other does")
def platform_fields(context):
    lines = context.platform_text.splitlines()
    read, needed = [], []
    for number, line in enumerate(lines):
        without = "\n".join(lines[:number] + lines[number + 1 :])
        try:
            if platform_settings(without) != platform_settings(context.platform_text):
                read.append(line.partition("=")[0])
        except KeyError:
            needed.append(line.partition("=")[0])
    assert {"needed": sorted(needed), "read": sorted(read)} == RECORDED["platform fields"], (needed, read)


@given("interfaces: the recorded settings file of sloepond's own balancer")
def own_file(context):
    context.own_text = (FOLDER / "balancer.toml").read_text(encoding="utf-8")


@then("interfaces: it is accepted and the settings have the values in the file")
def own_accepted(context):
    checked = check(context.own_text)
    assert checked.settings is not None and checked.findings == (), checked.findings
    written = tomllib.loads(context.own_text)
    read = plain(checked.settings)
    for name in written.keys() - {"node"}:
        assert read[name] == written[name], name
    for path in COMPARED_KEYS:
        assert at(read["node"], path) == at(written["node"], path), path


@then("interfaces: a settings file with only the required fields has the recorded defaults")
def own_defaults(context):
    checked = check((FOLDER / "smallest.toml").read_text(encoding="utf-8"))
    assert checked.settings is not None, checked.findings
    read = plain(checked.settings)
    node = read.pop("node")
    read["node"] = {path: at(node, path) for path in COMPARED_KEYS}
    assert read == RECORDED["settings defaults"], read


@then("interfaces: each recorded policy is accepted")
def own_policies(context):
    for policy in RECORDED["settings policies"]:
        checked = check(context.own_text, [("node.routing.policy", policy)])
        assert checked.settings is not None, (policy, checked.findings)


@then("interfaces: each recorded invalid setting is refused with the recorded findings")
def own_refused(context):
    for case in RECORDED["refused settings"]:
        checked = check(context.own_text, case["values"].items())
        assert checked.settings is None, case
        found = [str(finding) for finding in checked.findings]
        assert found == case["findings"], (case, found)


@then("interfaces: each example of resources and one with every field are accepted")
def example_resources(context):
    for folder in ("examples/accra", "examples/auckland", EVERY_FIELD):
        loaded = load_resources([pathlib.Path(folder)])
        assert loaded.findings == () and loaded.resources, (folder, loaded)
    written = yaml.safe_load_all((EVERY_FIELD / "resources.yaml").read_text(encoding="utf-8"))
    expected = {(document["kind"], document["metadata"]["name"]): document for document in written}
    resources = load_resources([EVERY_FIELD]).resources
    assert len(resources) == len(expected)
    for resource in resources:
        document = expected[type(resource).__name__, resource.metadata.name]
        assert resource.api_version == document["apiVersion"]
        assert plain(msgspec.to_builtins(resource.metadata)) == document["metadata"]
        for name, value in document["spec"].items():
            read = plain(msgspec.to_builtins(getattr(resource.spec, name)))
            assert read == value, (resource, name)

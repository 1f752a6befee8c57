"""Steps on the daemon's settings."""

from __future__ import annotations

import tomllib

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from runtime_daemon import (
    PROPERTY,
    SECRET,
    settings_text,
)

from sloepond.runtime.settings import BalancerSettings
from sloepond.runtime.settings_file import SettingsOverride, check_settings
from sloepond.runtime.unread_settings import FileNodeSettings


def check(context):
    return check_settings(context.settings_text, "balancer.toml", context.overrides)


@given("a runtime settings file that is complete")
def step_complete(context):
    context.settings_text, context.overrides = settings_text(), ()


@then("the runtime settings are accepted")
def step_accepted(context):
    checked = check(context)
    assert checked.findings == () and checked.settings.name == "b1"


@when("the runtime settings have these values")
def step_values(context):
    rows = ((row["path"].split("."), tomllib.loads("v=" + row["value"])["v"]) for row in context.table)
    context.overrides = tuple(SettingsOverride(tuple(path), value) for path, value in rows)


@when("the runtime settings have three keys, two of them invalid")
def step_keys(context):
    context.settings_text += f"[[keys]]\nid = 1\nsecret = '{SECRET}'\n[[keys]]\nid = 2\nsecret = 'secret!'\n"


@then("the runtime findings are about")
def step_findings(context):
    checked = check(context)
    assert checked.settings is None
    found = sorted(finding.field for finding in checked.findings)
    assert found == sorted(row["path"] for row in context.table), found


@then("the runtime findings contain no secret")
def step_no_secret(context):
    shown = " ".join(map(str, check(context).findings))
    assert SECRET not in shown and "secret!" not in shown
    accepted = check_settings(settings_text(), "test").settings
    assert SECRET not in repr(accepted)


@when("the runtime flags set a valid name and an invalid hall")
def step_flags(context):
    context.overrides = (
        SettingsOverride(("name",), "other"),
        SettingsOverride(("location", "hall"), ""),
    )


@then("the only runtime finding is about the flag")
def step_flag_finding(context):
    (finding,) = check(context).findings
    assert (finding.file, finding.field) == ("flags", "location.hall")
    context.overrides = context.overrides[:1]
    assert check(context).settings.name == "other"


@when("runtime settings are checked with arbitrary values")
def step_arbitrary_settings(context):
    context.checks, text = [], settings_text()
    top = tuple(field.name for field in msgspec.structs.fields(BalancerSettings))
    sections = [("node", field.name) for field in msgspec.structs.fields(FileNodeSettings)]
    paths = st.sampled_from([(name,) for name in top] + sections + [("node", "membership", "seeds")])
    scalars = st.integers() | st.floats() | st.text(max_size=5) | st.booleans()
    values = st.recursive(scalars, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner))
    overrides = st.lists(st.builds(SettingsOverride, paths, values), min_size=1, max_size=3).map(tuple)

    @PROPERTY
    @for_all(overrides)
    def check_arbitrary(overriding):
        context.checks.append(check_settings(text, "test", overriding))

    check_arbitrary()


@then("each runtime check returned settings or findings")
def step_checked(context):
    assert all((item.settings is None) == bool(item.findings) for item in context.checks)

"""Steps that check the lock file, the test run and the list of known red scenarios."""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from behave import given, then, when

CASES = "review/"
"""Beginning of a line of the list that names a case, not a scenario."""
ROOT = Path(__file__).resolve().parents[2]
PINNED = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*==[A-Za-z0-9.!+]+")


def normalised(requirement: str) -> str:
    """Return the canonical name of the library in a requirement."""
    name = re.match(r"[A-Za-z0-9._-]+", requirement)
    assert name is not None, requirement
    return re.sub(r"[-_.]+", "-", name.group()).lower()


@given("the project's declared libraries")
def declared_libraries(context):
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    requirements = list(project["dependencies"])
    for extra in project["optional-dependencies"].values():
        requirements += extra
    context.declared = {normalised(requirement) for requirement in requirements}
    assert context.declared


@when("the project's lock file is read")
def read_lock_file(context):
    lines = (ROOT / "requirements.lock").read_text().splitlines()
    context.pins = [line for line in lines if line and not line.startswith("#")]


@then("the project's lock file pins each of them")
def lock_file_is_complete(context):
    missing = context.declared - {normalised(line) for line in context.pins}
    assert not missing, missing


@then("the project's lock file contains only pinned versions")
def lock_file_has_only_pins(context):
    others = [line for line in context.pins if not PINNED.fullmatch(line)]
    assert not others, others
    names = [normalised(line) for line in context.pins]
    assert len(names) == len(set(names)), names


@given("a project test run with {passing:d} passing, {failing:d} failing and {red:d} known red scenario")
def prepare_test_run(context, passing, failing, red):
    folder = Path(tempfile.mkdtemp(prefix="sloepond-run-"))
    context.add_cleanup(shutil.rmtree, folder)
    shutil.copy(ROOT / "features" / "environment.py", folder)
    (folder / "steps").mkdir()
    (folder / "steps" / "run_steps.py").write_text(
        "from behave import then\n"
        "@then('the outcome is {outcome}')\n"
        "def outcome_is(context, outcome):\n    assert outcome == 'good'\n"
    )
    outcomes = ["good"] * passing + ["bad"] * failing
    scenarios = [f"  Scenario: case {i}\n    Then the outcome is {o}\n" for i, o in enumerate(outcomes)]
    scenarios += [f"  Scenario: red {i}\n    Then the outcome is bad\n" for i in range(red)]
    (folder / "run.feature").write_text("Feature: run\n" + "\n".join(scenarios))
    (folder / "known").write_text("".join(f"red {i} | cause | issue\n" for i in range(red)))
    context.folder = folder


@when("the project test run ends")
def run_tests(context):
    command = [sys.executable, "-m", "behave", "--define", "known_red=known", "."]
    context.run = subprocess.run(command, cwd=context.folder, capture_output=True, text=True, check=False)


@then('the last line of the project test run is "{line}"')
def closing_line_is(context, line):
    assert context.run.stdout.splitlines()[-1] == line, context.run.stdout


@then("the exit code of the project test run is {code:d}")
def exit_code_is(context, code):
    assert context.run.returncode == code, context.run.returncode


@when("the project's list of known red scenarios is read, if it exists")
def read_known_red_list(context):
    path = ROOT / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    lines = [line for line in lines if line.strip()]
    context.known_red_cases = [line for line in lines if line.startswith(CASES)]
    context.known_red_lines = [line for line in lines if not line.startswith(CASES)]


@then("it has at most {limit:d} lines with an existing scenario, a cause and an issue each")
def known_red_list_is_complete(context, limit):
    assert len(context.known_red_lines) <= limit, context.known_red_lines
    features = "\n".join(path.read_text() for path in ROOT.glob("features/**/*.feature"))
    names = set(re.findall(r"Scenario(?: Outline)?:\s*(.+?)\s*$", features, re.MULTILINE))
    for line in context.known_red_lines:
        fields = [field.strip() for field in line.split("|")]
        assert len(fields) == 3, line
        assert all(fields), line
        assert fields[0] in names, fields[0]


@then("each of its other lines names another case under review, with a command, a cause and an issue")
def known_red_cases_are_complete(context):
    cases = []
    for line in context.known_red_cases:
        case, cause, issue = (field.strip() for field in line.split("|"))
        assert (ROOT / case / "run.sh").is_file(), case
        assert f"{case}/run.sh" in cause, line
        assert issue, line
        cases.append(case)
    assert len(cases) == len(set(cases)), cases

"""Finds scenarios by name in `lab/scenarios`.

Owns no state.  Relies on `scenario` to parse a document and on `checks` to validate it.
"""

from __future__ import annotations

from pathlib import Path

from sloepond.lab.checks import require_valid
from sloepond.lab.scenario import Scenario, ScenarioError, ScenarioFinding, parse_scenario

SUFFIX = ".toml"
_DIRECTORY = Path("lab") / "scenarios"
"""Relative to the root of the project."""


def scenario_directory() -> Path:
    """Return the scenario directory in the working directory if it exists, else beside the package."""
    if _DIRECTORY.is_dir():
        return _DIRECTORY
    return Path(__file__).resolve().parents[2] / _DIRECTORY


def load_scenario(path: Path) -> Scenario:
    """Read and validate the scenario in the file `path`.

    :raises ScenarioError: with all findings, also if the file cannot be read.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError([ScenarioFinding(str(path), str(error))]) from error
    return require_valid(parse_scenario(text, path.name), path.name)


def all_scenarios() -> list[Scenario]:
    """Return all scenarios of the directory, sorted by name.

    :raises ScenarioError: with the findings of all of them.
    """
    scenarios = []
    findings: list[ScenarioFinding] = []
    for path in sorted(scenario_directory().glob(f"*{SUFFIX}")):
        try:
            scenarios.append(load_scenario(path))
        except ScenarioError as invalid:
            findings.extend(invalid.findings)
    if findings:
        raise ScenarioError(findings)
    return scenarios


def find_scenario(name: str) -> Scenario:
    """Return the scenario with this name, or in the file at this path if it ends in `.toml`.

    :raises ScenarioError: if it does not exist or is invalid.
    """
    if name.endswith(SUFFIX):
        return load_scenario(Path(name))
    path = scenario_directory() / f"{name}{SUFFIX}"
    if not path.is_file():
        known = ", ".join(sorted(item.stem for item in scenario_directory().glob(f"*{SUFFIX}")))
        raise ScenarioError([ScenarioFinding(name, f"no such scenario; available: {known}")])
    return load_scenario(path)

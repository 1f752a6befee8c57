"""Hooks of the test run: known failures and the closing line.

`-D known_red=FILE` skips the scenarios that FILE lists, one line each: the
scenario's name, its cause and its issue, separated by `|`.
"""

from __future__ import annotations

import sys
from pathlib import Path

from behave.model import Feature, Scenario
from behave.model_core import Status
from behave.reporter.base import Reporter
from behave.runner import Context

NOT_COUNTED = (Status.skipped, Status.untested)


class ClosingLineReporter(Reporter):
    """Prints `N passed, N failed` over all scenarios, as the last line."""

    def __init__(self, config: object) -> None:
        super().__init__(config)
        self.passed = 0
        self.failed = 0

    def feature(self, feature: Feature) -> None:
        for scenario in feature.walk_scenarios():
            if scenario.status is Status.passed:
                self.passed += 1
            elif scenario.status not in NOT_COUNTED:
                self.failed += 1

    def end(self) -> None:
        print(f"{self.passed} passed, {self.failed} failed")
        sys.stdout.flush()


def before_all(context: Context) -> None:
    context.known_red = read_known_red(context.config.userdata.get("known_red"))
    context.config.reporters.append(ClosingLineReporter(context.config))


def before_scenario(context: Context, scenario: Scenario) -> None:
    if scenario.name in context.known_red:
        scenario.skip(reason="listed as known red")


def read_known_red(path: str | None) -> frozenset[str]:
    """Return the names of the scenarios listed in the file at `path`."""
    if path is None:
        return frozenset()
    lines = Path(path).read_text(encoding="utf-8").splitlines()
    return frozenset(line.split("|")[0].strip() for line in lines if line.strip())

"""Failures of commands as values: an exit code and one line of text."""

from __future__ import annotations

import sys

import msgspec

from sloepond.resources.findings import Finding


class CommandFailure(msgspec.Struct, frozen=True):
    """The failure of a command.

    :ivar exit_code: one of `sloepond.cli.exit_codes`.
    :ivar reason: one line of text.
    :ivar findings: all findings, if resources were refused.
    """

    exit_code: int
    reason: str
    findings: tuple[Finding, ...] = ()


def report_failure(failure: CommandFailure, *, list_findings: bool = True) -> int:
    """Print a failure to standard error, with one line for each finding; return its exit code."""
    for finding in failure.findings if list_findings else ():
        print(one_line(str(finding)), file=sys.stderr)
    print(f"sloepond: {one_line(failure.reason)}", file=sys.stderr)
    return failure.exit_code


def one_line(text: str) -> str:
    """Return `text` on one line, with characters that cannot be encoded escaped."""
    printable = text.encode(errors="backslashreplace").decode()
    return " ".join(printable.split())

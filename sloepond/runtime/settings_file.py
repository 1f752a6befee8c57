"""Reads and checks the settings file, with flags that override it.

Relies on `structure` for the types, on `settings_rules` for the values and on `unread_settings` for
the structure of the file.
"""

from __future__ import annotations

import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any

import msgspec

from sloepond.resources.findings import FieldPath, Finding, format_path
from sloepond.runtime.settings import BalancerSettings
from sloepond.runtime.settings_rules import check_rules
from sloepond.runtime.structure import FieldFinding, StructureReader
from sloepond.runtime.unread_settings import FileSettings, find_unread

FLAGS = "flags"
"""Source in findings about a value that was given by a flag."""


class SettingsOverride(msgspec.Struct, frozen=True):
    """A value given by a flag, for the field at `path`."""

    path: tuple[str, ...]
    value: object


class CheckedSettings(msgspec.Struct, frozen=True):
    """Settings, or None and the findings that make them invalid.

    :ivar unread: settings of the file that are valid but have no effect.
    """

    settings: BalancerSettings | None
    findings: tuple[Finding, ...]
    unread: tuple[str, ...] = ()


def load_settings(file: pathlib.Path, overrides: tuple[SettingsOverride, ...] = ()) -> CheckedSettings:
    """Read and check a settings file.

    :param overrides: values of flags, which replace those of the file.
    :returns: the settings, or all findings.
    """
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return CheckedSettings(None, (Finding(str(file), 0, 0, "", f"cannot be read: {error}"),))
    return check_settings(text, str(file), overrides)


def check_settings(text: str, source: str, overrides: tuple[SettingsOverride, ...] = ()) -> CheckedSettings:
    """Check the text of a settings file.

    :param source: name of the file in findings.
    """
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return CheckedSettings(None, (Finding(source, 0, 0, "", f"not TOML: {error}"),))
    for override in overrides:
        _override(document, override)
    reader = StructureReader()
    settings = reader.read_struct(document, FileSettings, ())
    findings = reader.findings + _new_findings(reader.findings, settings)
    if findings:
        overridden = {override.path for override in overrides}
        return CheckedSettings(None, tuple(_locate(finding, source, overridden) for finding in findings))
    return CheckedSettings(settings, (), find_unread(document))


def _new_findings(earlier: list[FieldFinding], settings: FileSettings) -> list[FieldFinding]:
    """Return the violations of rules, except in fields that are already known to be invalid."""
    invalid = {finding.path for finding in earlier}
    violations = check_rules(settings) + _check_files(settings)
    return [finding for finding in violations if not _is_inside(finding.path, invalid)]


def _is_inside(path: FieldPath, invalid: set[FieldPath]) -> bool:
    return any(path[:length] in invalid for length in range(len(path) + 1))


def _override(document: dict[str, Any], override: SettingsOverride) -> None:
    table = document
    for step in override.path[:-1]:
        inner = table.setdefault(step, {})
        if not isinstance(inner, dict):
            return
        table = inner
    table[override.path[-1]] = override.value


def _locate(finding: FieldFinding, source: str, overridden: set[tuple[str, ...]]) -> Finding:
    file = FLAGS if finding.path in overridden else source
    return Finding(file, 0, 0, format_path(finding.path), finding.reason)


def _check_files(settings: FileSettings) -> list[FieldFinding]:
    """Return a finding for each named file that cannot be opened."""
    paths: Mapping[FieldPath, str] = {
        ("api", "tls_certificate"): settings.api.tls_certificate,
        ("api", "tls_key"): settings.api.tls_key,
        ("platform", "ca_file"): settings.platform.ca_file,
    }
    findings = []
    for field, path in paths.items():
        if path and not _is_readable(path):
            findings.append(FieldFinding(field, "the file cannot be read"))
    return findings


def _is_readable(path: str) -> bool:
    try:
        with open(path, "rb"):
            return True
    except OSError:
        return False

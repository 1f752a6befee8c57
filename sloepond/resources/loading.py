"""Reading resources from files and directories, with all findings together.

What cannot be read is a finding beside those about the content, so that an operator sees all
that is wrong at once.  Relies on `resources.documents` for the text and on
`resources.validation` for the checks.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec

from sloepond.resources.documents import JSON_SUFFIX, MAXIMUM_TEXT_CHARACTERS, Document, parse_text
from sloepond.resources.findings import Finding
from sloepond.resources.model import Resource
from sloepond.resources.validation import validate_documents

RESOURCE_SUFFIXES = (".yaml", ".yml", JSON_SUFFIX)
"""Suffixes of the files read from a directory."""


class LoadedResources(msgspec.Struct, frozen=True):
    """Resources read from files.

    :ivar resources: to be used only where `findings` is empty.
    :ivar findings: everything wrong in all files, sorted by place.
    """

    resources: tuple[Resource, ...]
    findings: tuple[Finding, ...]


class _FileList(msgspec.Struct):
    """Files to read, in order, and the paths that lead to none."""

    files: list[Path]
    findings: list[Finding]


def load_resources(paths: Sequence[str | Path]) -> LoadedResources:
    """Read files (YAML or JSON, many documents each) or directories of them.

    Directories are read with all below them, in the order of their names.
    """
    listed = _list_files(paths)
    findings = listed.findings
    documents: list[Document] = []
    for file in listed.files:
        text = _read_text(file)
        if isinstance(text, Finding):
            findings.append(text)
            continue
        parsed = parse_text(text, str(file))
        documents.extend(parsed.documents)
        findings.extend(parsed.findings)
    if not documents and not findings:
        findings.append(Finding(" ".join(map(str, paths)), 0, 0, "", "no resource is declared"))
    validated = validate_documents(documents)
    ordered = tuple(sorted({*findings, *validated.findings}))
    return LoadedResources(validated.resources, ordered)


def _list_files(paths: Sequence[str | Path]) -> _FileList:
    listed = _FileList([], [])
    for path in map(Path, paths):
        if not _is_directory(path):
            listed.files.append(path)
            continue
        inside = sorted(file for file in path.rglob("*") if file.suffix in RESOURCE_SUFFIXES)
        if not inside:
            listed.findings.append(Finding(str(path), 0, 0, "", "no resource file in this directory"))
        listed.files.extend(inside)
    listed.files = list(dict.fromkeys(listed.files))
    return listed


def _is_directory(path: Path) -> bool:
    """Return whether `path` is a directory; what cannot be told is found when it is read."""
    try:
        return path.is_dir()
    except OSError:
        return False


def _read_text(file: Path) -> str | Finding:
    """Read a file, but not without end: one character above the limit is enough to refuse it."""
    try:
        with file.open(encoding="utf-8") as stream:
            return stream.read(MAXIMUM_TEXT_CHARACTERS + 1)
    except OSError as error:
        return Finding(str(file), 0, 0, "", f"cannot be read: {error.strerror}")
    except UnicodeDecodeError:
        return Finding(str(file), 0, 0, "", "not UTF-8 text")
    except ValueError as error:
        return Finding(str(file), 0, 0, "", f"cannot be read: {error}")

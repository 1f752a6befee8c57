"""Loads resources from files and directories and collects all findings.

An unreadable file is reported as a finding together with those about the content, so an
operator sees every error at once.  Relies on `resources.documents` for parsing and on
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

    :ivar resources: to be used only if `findings` is empty.
    :ivar findings: findings of all files, sorted by position.
    """

    resources: tuple[Resource, ...]
    findings: tuple[Finding, ...]


class _FileList(msgspec.Struct):
    """Files to read, in order, and findings about paths without any."""

    files: list[Path]
    findings: list[Finding]


def load_resources(paths: Sequence[str | Path]) -> LoadedResources:
    """Load files (YAML or JSON, with any number of documents) or directories of them.

    Directories are searched recursively; their files are read in the order of their paths.
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
    """Return whether `path` is a directory; False on errors, which then occur again when it is read."""
    try:
        return path.is_dir()
    except OSError:
        return False


def _read_text(file: Path) -> str | Finding:
    """Read a file up to one character above the limit, which is enough for the parser to refuse it."""
    try:
        with file.open(encoding="utf-8") as stream:
            return stream.read(MAXIMUM_TEXT_CHARACTERS + 1)
    except OSError as error:
        return Finding(str(file), 0, 0, "", f"cannot be read: {error.strerror}")
    except UnicodeDecodeError:
        return Finding(str(file), 0, 0, "", "not UTF-8 text")
    except ValueError as error:
        return Finding(str(file), 0, 0, "", f"cannot be read: {error}")

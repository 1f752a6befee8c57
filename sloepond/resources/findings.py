"""Findings: validation errors of declared resources, with their position.

Findings of all files are collected and reported together; nothing is raised.
"""

from __future__ import annotations

import reprlib

import msgspec

FieldPath = tuple[str | int, ...]
"""Keys and list indexes that lead from the root of a document to a field."""

MAXIMUM_SHOWN_CHARACTERS = 100
"""Characters of a document's text that a finding quotes."""


class Finding(msgspec.Struct, frozen=True, order=True, omit_defaults=True):
    """One reason for refusing a set of resources.

    :ivar file: file (or other source) of the document.
    :ivar document: index of the document in the file, from 1; 0 where the
        finding is about the whole file.
    :ivar line: line in the file, from 1; 0 if unknown.
    :ivar field: path of the field, as in `spec.permitted[0].hall`; may be empty.
    :ivar reason: what is wrong, as one line of text.
    :ivar resource: kind and name, as in `Backend/roster-1`; empty if unknown.
    """

    file: str
    document: int
    line: int
    field: str
    reason: str
    resource: str = ""

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        parts = [place]
        if self.document:
            parts.append(f"document {self.document}")
        if self.resource:
            parts.append(self.resource)
        if self.field:
            parts.append(self.field)
        parts.append(self.reason)
        return ": ".join(parts)


def format_path(path: FieldPath) -> str:
    """Return `path` as text, as in `spec.permitted[0].hall`."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{plain_text(step)}" if text else plain_text(step)
    return text


def plain_text(text: str) -> str:
    """Return `text` from a document unchanged if it is short and printable, else quoted and shortened."""
    is_plain = text.isprintable() and len(text) <= MAXIMUM_SHOWN_CHARACTERS
    return text if is_plain else show_value(text)


def show_value(value: object) -> str:
    """Return a value from a document as a finding shows it: quoted, shortened and printable."""
    return _SHORT_REPR.repr(value)


def _make_short_repr() -> reprlib.Repr:
    short = reprlib.Repr()
    short.maxstring = MAXIMUM_SHOWN_CHARACTERS
    short.maxother = MAXIMUM_SHOWN_CHARACTERS
    return short


_SHORT_REPR = _make_short_repr()

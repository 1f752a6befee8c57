"""Findings: what is wrong with declared resources, and where.

Findings are collected over all files and reported together; nothing is raised.
"""

from __future__ import annotations

import reprlib

import msgspec

FieldPath = tuple[str | int, ...]
"""Keys and list indexes from the root of a document to a field."""

MAXIMUM_SHOWN_CHARACTERS = 100
"""Longest part of a document shown in a finding, in characters."""


class Finding(msgspec.Struct, frozen=True, order=True, omit_defaults=True):
    """One reason why a set of resources is refused.

    :ivar file: file (or other source) of the document.
    :ivar document: index of the document in the file, from 1; 0 where the
        finding is about the whole file.
    :ivar line: line in the file, from 1; 0 where it is not known.
    :ivar field: path of the field, as in `spec.permitted[0].hall`; may be empty.
    :ivar reason: what is wrong, as one line of text.
    :ivar resource: kind and name, as in `Backend/roster-1`, where they are known.
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
    """Return `text` from a document as it may stand in a finding: short and printable."""
    is_plain = text.isprintable() and len(text) <= MAXIMUM_SHOWN_CHARACTERS
    return text if is_plain else show_value(text)


def show_value(value: object) -> str:
    """Return a value from a document as it may stand in a finding: quoted, short and printable."""
    return _SHORT_REPR.repr(value)


def _make_short_repr() -> reprlib.Repr:
    short = reprlib.Repr()
    short.maxstring = MAXIMUM_SHOWN_CHARACTERS
    short.maxother = MAXIMUM_SHOWN_CHARACTERS
    return short


_SHORT_REPR = _make_short_repr()

"""Checks documents against the resource types, field by field.

`msgspec` stops at the first error of a document.  Here each field is converted
on its own, so that all errors of a document are reported together, and the valid
fields can still be checked against other documents.
"""

from __future__ import annotations

import enum
import functools
from typing import Any, get_args, get_origin

import msgspec

from sloepond.resources.documents import Document
from sloepond.resources.findings import FieldPath, Finding, plain_text, show_value
from sloepond.resources.model import (
    API_VERSION,
    Backend,
    Hall,
    Kind,
    Region,
    Resource,
    Service,
    Zone,
)

KIND_FIELD = "kind"
API_VERSION_FIELD = "apiVersion"
STATUS_FIELD = "status"
NAME_PATH: FieldPath = ("metadata", "name")

RESOURCE_TYPES: dict[Kind, type[Resource]] = {
    Kind.REGION: Region,
    Kind.ZONE: Zone,
    Kind.HALL: Hall,
    Kind.SERVICE: Service,
    Kind.BACKEND: Backend,
}


class Declaration(msgspec.Struct, frozen=True):
    """The valid parts of one document.

    :ivar kind: None if the document names no known kind.
    :ivar fields: the values that have the right type, by path.
    :ivar resource: the typed resource; None if the document has any finding.
    """

    document: Document
    kind: Kind | None
    fields: dict[FieldPath, object]
    resource: Resource | None

    @property
    def name(self) -> str:
        """Name of the resource; empty if it has none."""
        return self.text(NAME_PATH)

    @property
    def label(self) -> str:
        """Kind and name, as in `Backend/roster-1`."""
        return _label(self.kind, self.name)

    def text(self, path: FieldPath) -> str:
        """Return the text at `path`; empty if there is no valid text."""
        value = self.fields.get(path)
        return value if isinstance(value, str) else ""

    def finding(self, path: FieldPath, reason: str) -> Finding:
        """Return a finding about the field at `path`."""
        return self.document.finding(path, reason, self.label)


class CheckedDeclaration(msgspec.Struct, frozen=True):
    """A declaration and the findings about its own fields."""

    declaration: Declaration
    findings: tuple[Finding, ...]


def check_document(document: Document) -> CheckedDeclaration:
    """Check one document against the resource type of its kind."""
    return _DocumentReader(document).read()


class _DocumentReader:
    """Converts one document, collecting fields and findings."""

    def __init__(self, document: Document) -> None:
        self._document = document
        self._kind: Kind | None = None
        self._name = ""
        self._fields: dict[FieldPath, object] = {}
        self._findings: list[Finding] = []

    def read(self) -> CheckedDeclaration:
        """Return the valid fields and the findings."""
        value = self._document.value
        if isinstance(value, dict):
            self._read_resource(value)
        else:
            self._add_finding(
                (),
                f"expected a mapping with apiVersion, kind, metadata and spec, got {_type_name(value)}",
            )
        declaration = Declaration(self._document, self._kind, self._fields, self._resource(value))
        return CheckedDeclaration(declaration, tuple(self._findings))

    def _read_resource(self, value: dict[object, object]) -> None:
        self._kind = _kind_of(value)
        self._name = _name_of(value)
        self._check_api_version(value)
        if self._kind is None:
            self._check_kind(value)
            return
        if value.get(STATUS_FIELD):
            self._add_finding((STATUS_FIELD,), "status is written by the system, never declared")
        self._read_struct(RESOURCE_TYPES[self._kind], value, (), ignored=frozenset({KIND_FIELD}))

    def _check_api_version(self, value: dict[object, object]) -> None:
        version = value.get(API_VERSION_FIELD)
        if isinstance(version, str) and version != API_VERSION:
            self._add_finding(
                (API_VERSION_FIELD,),
                f"unknown version {show_value(version)}, expected {API_VERSION!r}",
            )

    def _check_kind(self, value: dict[object, object]) -> None:
        if KIND_FIELD not in value:
            self._add_finding((KIND_FIELD,), "missing")
            return
        known = ", ".join(Kind)
        self._add_finding(
            (KIND_FIELD,),
            f"unknown kind {show_value(value[KIND_FIELD])}, expected one of {known}",
        )

    def _read_struct(
        self,
        struct: type[msgspec.Struct],
        value: object,
        path: FieldPath,
        ignored: frozenset[str] = frozenset(),
    ) -> None:
        if not isinstance(value, dict):
            self._add_finding(path, f"expected a mapping, got {_type_name(value)}")
            return
        fields = _fields_of(struct)
        for key in value:
            if key not in fields and key not in ignored:
                self._add_finding(
                    (*path, str(key)),
                    f"unknown field, expected one of {_field_names(fields)}",
                )
        for name, field in fields.items():
            if name in value:
                self._read_value(field.type, value[name], (*path, name))
            elif field.required:
                self._add_finding((*path, name), "missing")

    def _read_value(self, expected: Any, value: object, path: FieldPath) -> None:
        if isinstance(expected, type) and issubclass(expected, msgspec.Struct):
            self._read_struct(expected, value, path)
        elif get_origin(expected) is tuple:
            self._read_list(get_args(expected)[0], value, path)
        elif get_origin(expected) is dict:
            self._read_mapping(get_args(expected)[1], value, path)
        else:
            self._read_leaf(expected, value, path)

    def _read_list(self, expected: Any, value: object, path: FieldPath) -> None:
        if not isinstance(value, list | tuple):
            self._add_finding(path, f"expected a list, got {_type_name(value)}")
            return
        for index, item in enumerate(value):
            self._read_value(expected, item, (*path, index))

    def _read_mapping(self, expected: Any, value: object, path: FieldPath) -> None:
        if not isinstance(value, dict):
            self._add_finding(path, f"expected a mapping, got {_type_name(value)}")
            return
        for key, item in value.items():
            self._read_value(expected, item, (*path, str(key)))

    def _read_leaf(self, expected: Any, value: object, path: FieldPath) -> None:
        try:
            self._fields[path] = msgspec.convert(value, expected)
        except msgspec.ValidationError as error:
            self._add_finding(path, _leaf_reason(expected, value, error))

    def _resource(self, value: object) -> Resource | None:
        if self._findings or self._kind is None:
            return None
        try:
            return msgspec.convert(value, RESOURCE_TYPES[self._kind])
        except msgspec.ValidationError as error:
            self._add_finding((), str(error))
            return None

    def _add_finding(self, path: FieldPath, reason: str) -> None:
        self._findings.append(self._document.finding(path, reason, _label(self._kind, self._name)))


@functools.cache
def _fields_of(struct: type[msgspec.Struct]) -> dict[str, msgspec.structs.FieldInfo]:
    return {field.encode_name: field for field in msgspec.structs.fields(struct)}


def _kind_of(value: dict[object, object]) -> Kind | None:
    text = value.get(KIND_FIELD)
    return Kind(text) if isinstance(text, str) and text in set(Kind) else None


def _name_of(value: dict[object, object]) -> str:
    metadata = value.get(NAME_PATH[0])
    name = metadata.get(NAME_PATH[1]) if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else ""


def _label(kind: Kind | None, name: str) -> str:
    shown = plain_text(name)
    if kind is None:
        return shown
    return f"{kind}/{shown}" if name else str(kind)


def _leaf_reason(expected: Any, value: object, error: msgspec.ValidationError) -> str:
    if isinstance(expected, type) and issubclass(expected, enum.Enum):
        known = ", ".join(str(member.value) for member in expected)
        return f"unknown value {show_value(value)}, expected one of {known}"
    return str(error).replace("Expected", "expected").replace("`", "")


def _field_names(fields: dict[str, msgspec.structs.FieldInfo]) -> str:
    return ", ".join(fields) if fields else "none"


def _type_name(value: object) -> str:
    names = {
        dict: "a mapping",
        list: "a list",
        str: "text",
        bool: "a boolean",
        type(None): "nothing",
    }
    return names.get(type(value), type(value).__name__)

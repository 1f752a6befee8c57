"""Converts plain values, such as those of a TOML file, to structs and reports all findings."""

from __future__ import annotations

import types
from collections.abc import Iterable, Mapping
from typing import Any, TypeVar, Union, get_args, get_origin

import msgspec

from sloepond.resources.findings import FieldPath

StructType = TypeVar("StructType", bound=msgspec.Struct)

_PATH_SEPARATOR = " - at "


class FieldFinding(msgspec.Struct, frozen=True):
    """What is wrong with the field at `path`."""

    path: FieldPath
    reason: str


class StructureReader:
    """Converts plain values and collects findings.

    A missing or invalid field gets its default, or an empty value if it has none, so that the rest can
    still be checked.  The result may be used only if there are no findings.

    :ivar findings: all findings so far.
    """

    def __init__(self) -> None:
        self.findings: list[FieldFinding] = []

    def read_struct(self, value: object, struct_type: type[StructType], path: FieldPath) -> StructType:
        """Return the value of the field at `path` as a struct."""
        if not isinstance(value, Mapping):
            self._add(path, f"expected a table, got {type(value).__name__}")
            return _empty_struct(struct_type)
        fields = msgspec.structs.fields(struct_type)
        self._check_names(value, fields, path)
        arguments: dict[str, Any] = {}
        for field in fields:
            field_path = (*path, field.name)
            if field.name in value:
                arguments[field.name] = self._read(value[field.name], field, field_path)
            elif field.required:
                self._add(field_path, "missing")
                arguments[field.name] = _empty_value(field.type)
        return struct_type(**arguments)

    def _check_names(
        self, value: Mapping[Any, object], fields: Iterable[msgspec.structs.FieldInfo], path: FieldPath
    ) -> None:
        known = {field.name for field in fields}
        for name in value:
            if name not in known:
                self._add((*path, str(name)), "unknown key")

    def _read(self, value: object, field: msgspec.structs.FieldInfo, path: FieldPath) -> Any:
        struct_type = _struct_in(field.type)
        if struct_type is not None:
            return self.read_struct(value, struct_type, path)
        item_type = _item_struct_of_tuple(field.type)
        if item_type is not None and isinstance(value, list):
            return tuple(
                self.read_struct(item, item_type, (*path, index)) for index, item in enumerate(value)
            )
        try:
            return msgspec.convert(value, field.type)
        except msgspec.ValidationError as error:
            self._add(path, str(error).partition(_PATH_SEPARATOR)[0])
            return _empty_value(field.type) if field.required else field.default

    def _add(self, path: FieldPath, reason: str) -> None:
        self.findings.append(FieldFinding(path, reason))


def _empty_struct(struct_type: type[StructType]) -> StructType:
    fields = msgspec.structs.fields(struct_type)
    return struct_type(**{field.name: _empty_value(field.type) for field in fields if field.required})


def _empty_value(value_type: Any) -> Any:
    """Return `""`, 0, `()` or a struct of such values."""
    struct_type = _struct_in(value_type)
    if struct_type is not None:
        return _empty_struct(struct_type)
    return (get_origin(value_type) or value_type)()


def _struct_in(value_type: Any) -> type[msgspec.Struct] | None:
    """Return the struct of `Struct` or `Struct | None`."""
    if get_origin(value_type) in (Union, types.UnionType):
        structs = [item for item in get_args(value_type) if _is_struct(item)]
        return structs[0] if structs else None
    return value_type if _is_struct(value_type) else None


def _item_struct_of_tuple(value_type: Any) -> type[msgspec.Struct] | None:
    """Return the struct of `tuple[Struct, ...]`."""
    if get_origin(value_type) is not tuple:
        return None
    item_type = get_args(value_type)[0]
    return item_type if _is_struct(item_type) else None


def _is_struct(value_type: Any) -> bool:
    return isinstance(value_type, type) and issubclass(value_type, msgspec.Struct)

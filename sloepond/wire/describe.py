"""Generates the protocol's document from the message types and their doc comments.

`python -m sloepond.wire.describe` prints the text of `docs/PROTOCOL.md`.
"""

from __future__ import annotations

import ast
import enum
import inspect
import re
import textwrap
from collections.abc import Iterator
from typing import get_args

import msgspec

from sloepond.core import messages, packets
from sloepond.wire import authentication, codec, edge

EDGE_PACKETS = (packets.CallerPacket, packets.CallerReply, packets.BackendPacket, packets.BackendReply)
_INTRODUCTION = """\
# Protocol

This page is written by `python -m sloepond.wire.describe` from the typed
messages; a test compares them. Change the types, not this page.

Everything is msgpack. A struct is an array of its fields in the order given
here, unless said otherwise. Fields that have a default may be missing at the end
of an array.
Input that does not fit these types or limits is counted and dropped.
"""

_SCALARS: dict[type, str] = {
    msgspec.inspect.IntType: "integer",
    msgspec.inspect.FloatType: "float",
    msgspec.inspect.BoolType: "boolean",
    msgspec.inspect.StrType: "string",
    msgspec.inspect.BytesType: "binary",
    msgspec.inspect.NoneType: "nil",
}

_PARAGRAPH = "\n\n"
_DEFAULT_TEXTS = {"None": "nil", "()": "[]", "''": '""', "b''": "empty"}


def describe() -> str:
    """Return the whole document, in Markdown."""
    sections = [_INTRODUCTION, _describe_envelope(), *_describe_messages(), *_describe_packets()]
    inner = _inner_types()
    sections.append("## Structures inside messages and packets\n")
    sections += [_describe_struct(item) for item in inner if issubclass(item, msgspec.Struct)]
    sections.append("## Enumerations\n\nSent as integers.\n")
    sections += [_describe_enumeration(item) for item in inner if issubclass(item, enum.IntEnum)]
    return "\n".join(sections)


def _inner_types() -> list[type]:
    """Return the structs and enumerations inside messages and packets, each once."""
    outer = (*get_args(messages.PeerMessage), *EDGE_PACKETS)
    found: dict[type, None] = {}
    pending = list(outer)
    while pending:
        struct = pending.pop(0)
        for field in msgspec.structs.fields(struct):
            for inner in _named_types(msgspec.inspect.type_info(field.type)):
                if inner not in found and inner not in outer:
                    found[inner] = None
                    pending += [inner] if issubclass(inner, msgspec.Struct) else []
    return list(found)


def _named_types(info: msgspec.inspect.Type) -> Iterator[type]:
    if isinstance(info, msgspec.inspect.StructType | msgspec.inspect.EnumType):
        yield info.cls
    elif isinstance(info, msgspec.inspect.VarTupleType):
        yield from _named_types(info.item_type)
    elif isinstance(info, msgspec.inspect.UnionType):
        for item in info.types:
            yield from _named_types(item)


def _describe_envelope() -> str:
    documentation = inspect.getdoc(authentication) or ""
    text = documentation.partition(_PARAGRAPH)[2]
    layout = re.sub(r"::\n\n(?: {4}.*\n)+", lambda match: _fenced(match.group()), text)
    return (
        f"## Datagrams between balancers\n\n{layout}\n\n"
        f"Limits: name 1 to {authentication.MAXIMUM_NAME_BYTES} bytes, body up to "
        f"{codec.MAXIMUM_MESSAGE_BYTES} bytes, at most {authentication.MAXIMUM_KEYS} keys accepted "
        f"at a time, secrets of {authentication.MINIMUM_SECRET_BYTES} to "
        f"{authentication.MAXIMUM_SECRET_BYTES} bytes.\n"
    )


def _fenced(block: str) -> str:
    lines = textwrap.dedent(block.partition(_PARAGRAPH)[2])
    return f":\n\n```\n{lines}```\n"


def _describe_messages() -> Iterator[str]:
    documentation = inspect.getdoc(codec) or ""
    yield f"## Messages between balancers\n\n{documentation.partition(_PARAGRAPH)[2]}\n"
    for message in get_args(messages.PeerMessage):
        yield _describe_struct(message)


def _describe_packets() -> Iterator[str]:
    yield (
        "## Packets of callers and back ends\n\n"
        "The formats of the stand-ins; a deployment with other formats replaces `sloepond.wire.edge`.\n\n"
        f"Limits: {edge.MAXIMUM_PACKET_BYTES} bytes per datagram, request ids from 0 to "
        f"{packets.MAXIMUM_REQUEST_ID}, attempts up to {edge.MAXIMUM_ATTEMPT}, parts up to "
        f"{edge.MAXIMUM_PARTS}, addresses up to {edge.MAXIMUM_ADDRESS_CHARACTERS} characters.\n"
    )
    for packet in EDGE_PACKETS:
        yield _describe_struct(packet)


def _describe_struct(struct: type[msgspec.Struct]) -> str:
    configuration = struct.__struct_config__
    summary, meanings = _read_documentation(struct)
    lines = [f"### {struct.__name__}\n", summary, "", *_encoding_of(configuration)]
    lines += ["| field | type | default | meaning |", "| --- | --- | --- | --- |"]
    for field in msgspec.structs.fields(struct):
        type_text = _type_text(msgspec.inspect.type_info(field.type))
        default = "" if field.required else f"`{_default_text(field.default)}`"
        lines.append(f"| `{field.name}` | {type_text} | {default} | {meanings.get(field.name, '')} |")
    return "\n".join(lines) + "\n"


def _encoding_of(configuration: msgspec.structs.StructConfig) -> tuple[str, ...]:
    if configuration.tag is not None:
        return (f"Tag {configuration.tag}.", "")
    if not configuration.array_like:
        return ("A map with the names of its fields.", "")
    return ()


def _default_text(value: object) -> str:
    if isinstance(value, enum.Enum):
        return value.name
    return _DEFAULT_TEXTS.get(repr(value), str(value))


def _type_text(info: msgspec.inspect.Type) -> str:
    scalar = _SCALARS.get(type(info))
    if scalar is not None:
        return scalar
    if isinstance(info, msgspec.inspect.VarTupleType):
        return f"array of {_type_text(info.item_type)}"
    if isinstance(info, msgspec.inspect.UnionType):
        return " or ".join(_type_text(item) for item in info.types)
    if isinstance(info, msgspec.inspect.StructType | msgspec.inspect.EnumType):
        return f"[{info.cls.__name__}](#{info.cls.__name__.lower()})"
    raise TypeError(f"no text for {info}")


def _describe_enumeration(enumeration: type[enum.IntEnum]) -> str:
    notes = _notes_below_members(enumeration)
    lines = [f"### {enumeration.__name__}\n", inspect.getdoc(enumeration) or "", ""]
    lines += ["| value | name | meaning |", "| --- | --- | --- |"]
    lines += [f"| {item.value} | `{item.name}` | {notes.get(item.name, '')} |" for item in enumeration]
    return "\n".join(lines) + "\n"


def _read_documentation(struct: type[msgspec.Struct]) -> tuple[str, dict[str, str]]:
    """Return the text of a struct's doc comment and the meaning of each field in it."""
    documentation = inspect.getdoc(struct) or ""
    text, *fields = re.split(r"^:ivar (\w+):", documentation, flags=re.MULTILINE)
    meanings = {
        name: " ".join(meaning.split()) for name, meaning in zip(fields[::2], fields[1::2], strict=True)
    }
    return text.strip(), meanings


def _notes_below_members(enumeration: type[enum.IntEnum]) -> dict[str, str]:
    """Return the doc comments below the members of an enumeration."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(enumeration))).body[0]
    assert isinstance(tree, ast.ClassDef)
    notes: dict[str, str] = {}
    for member, below in zip(tree.body, tree.body[1:], strict=False):
        if not isinstance(member, ast.Assign) or not isinstance(below, ast.Expr):
            continue
        if isinstance(member.targets[0], ast.Name) and isinstance(below.value, ast.Constant):
            notes[member.targets[0].id] = " ".join(str(below.value.value).split())
    return notes


if __name__ == "__main__":
    print(describe(), end="")

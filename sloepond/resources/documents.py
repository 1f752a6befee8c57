"""Parses YAML and JSON text into plain values, with the line of each field.

Parsing does not raise: a syntax error becomes a finding, and the documents before
it are still returned.
"""

from __future__ import annotations

import json
from collections.abc import Hashable
from typing import Any

import msgspec
import yaml

from sloepond.resources.findings import FieldPath, Finding, format_path, plain_text

MAXIMUM_DEPTH = 16
"""Nesting levels of a document; no resource needs more than 6."""

MAXIMUM_TEXT_CHARACTERS = 32 * 1024 * 1024
"""Size limit of a text; a larger one is refused."""

JSON_SUFFIX = ".json"
RESOURCES_FIELD = "resources"

_YAML_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class Document(msgspec.Struct, frozen=True):
    """One parsed document, before validation.

    :ivar file: file (or other source) of the document.
    :ivar index: its index in the file, from 1.
    :ivar value: plain value (mappings, lists, strings, numbers, ...).
    :ivar lines: line of each field, from 1; empty for JSON.
    """

    file: str
    index: int
    value: object
    lines: dict[FieldPath, int] = {}

    def finding(self, path: FieldPath, reason: str, resource: str = "") -> Finding:
        """Return a finding about the field at `path` of this document."""
        return Finding(
            file=self.file,
            document=self.index,
            line=self.line(path),
            field=format_path(path),
            reason=reason,
            resource=resource,
        )

    def line(self, path: FieldPath) -> int:
        """Return the line of the field at `path`, or of the nearest enclosing field; 0 if unknown."""
        for length in range(len(path), -1, -1):
            line = self.lines.get(path[:length])
            if line is not None:
                return line
        return 0


class ParsedText(msgspec.Struct, frozen=True):
    """The documents of one text, and findings about the parts that could not be parsed."""

    documents: tuple[Document, ...]
    findings: tuple[Finding, ...]


def parse_text(text: str, file: str) -> ParsedText:
    """Parse a text into documents.

    :param file: name shown in findings; the text is parsed as JSON if it ends in `.json`, else as YAML.
    """
    if len(text) > MAXIMUM_TEXT_CHARACTERS:
        reason = f"larger than {MAXIMUM_TEXT_CHARACTERS} characters"
        return ParsedText((), (Finding(file, 0, 0, "", reason),))
    if file.endswith(JSON_SUFFIX):
        return _parse_json(text, file)
    return _YamlReader(text, file).read()


def _parse_json(text: str, file: str) -> ParsedText:
    """Parse one resource, a list of resources, or an object with a list `resources`."""
    try:
        value = json.loads(text)
    except json.JSONDecodeError as error:
        return ParsedText((), (Finding(file, 0, error.lineno, "", f"not JSON: {error.msg}"),))
    except (ValueError, RecursionError) as error:
        return ParsedText((), (Finding(file, 0, 0, "", f"not JSON: {_one_line(error)}"),))
    if isinstance(value, dict) and set(value) == {RESOURCES_FIELD}:
        value = value[RESOURCES_FIELD]
    values = value if isinstance(value, list) else [value]
    documents = (Document(file, index, item) for index, item in enumerate(values, start=1))
    return ParsedText(tuple(documents), ())


class _YamlReader:
    """Parses the documents of one YAML text."""

    def __init__(self, text: str, file: str) -> None:
        self._text = text
        self._file = file
        self._documents: list[Document] = []
        self._findings: list[Finding] = []

    def read(self) -> ParsedText:
        """Return all documents up to the first syntax error."""
        try:
            self._read_documents()
        except yaml.MarkedYAMLError as error:
            self._add_syntax_error(error)
        except (yaml.YAMLError, ValueError, RecursionError) as error:
            self._add_finding(0, f"not YAML: {_one_line(error)}")
        return ParsedText(tuple(self._documents), tuple(self._findings))

    def _read_documents(self) -> None:
        index = 0
        for root in yaml.compose_all(self._text, Loader=_YAML_LOADER):
            if root is None or _is_empty(root):
                continue
            index += 1
            node_reader = _NodeReader(self._file, index)
            value = node_reader.read(root, ())
            self._documents.append(Document(self._file, index, value, node_reader.lines))
            self._findings.extend(node_reader.findings)

    def _add_syntax_error(self, error: yaml.MarkedYAMLError) -> None:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        self._add_finding(line, f"not YAML: {_one_line(error.problem or error.context or error)}")

    def _add_finding(self, line: int, reason: str) -> None:
        self._findings.append(Finding(self._file, 0, line, "", reason))


class _NodeReader:
    """Converts the nodes of one document into plain values and records their lines."""

    def __init__(self, file: str, index: int) -> None:
        self._file = file
        self._index = index
        self._constructor = yaml.constructor.SafeConstructor()
        self._nodes_read: set[int] = set()
        self.lines: dict[FieldPath, int] = {}
        self.findings: list[Finding] = []

    def read(self, node: yaml.Node, path: FieldPath) -> object:
        """Return the plain value of `node`, which is at `path`."""
        self.lines.setdefault(path, node.start_mark.line + 1)
        if id(node) in self._nodes_read:
            self._add_finding(path, node, "aliases are not supported")
            return None
        self._nodes_read.add(id(node))
        if len(path) > MAXIMUM_DEPTH:
            self._add_finding(path, node, f"nested deeper than {MAXIMUM_DEPTH} levels")
            return None
        if isinstance(node, yaml.MappingNode):
            return self._read_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [self.read(item, (*path, index)) for index, item in enumerate(node.value)]
        return self._read_scalar(node, path)

    def _read_mapping(self, node: yaml.MappingNode, path: FieldPath) -> dict[Hashable, object]:
        mapping: dict[Hashable, object] = {}
        for key_node, value_node in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                self._add_finding(path, key_node, "a key is not plain text")
                continue
            key = str(key_node.value)
            field = (*path, key)
            if key in mapping:
                self._add_finding(field, key_node, "written twice")
                continue
            self.lines[field] = key_node.start_mark.line + 1
            mapping[key] = self.read(value_node, field)
        return mapping

    def _read_scalar(self, node: yaml.Node, path: FieldPath) -> object:
        try:
            return self._constructor.construct_object(node)
        except (
            yaml.YAMLError,
            ValueError,
            TypeError,
            AttributeError,
            KeyError,
        ) as error:
            self._add_finding(path, node, f"not a value: {_one_line(error)}")
            return None

    def _add_finding(self, path: FieldPath, node: yaml.Node, reason: str) -> None:
        line = node.start_mark.line + 1
        self.findings.append(Finding(self._file, self._index, line, format_path(path), reason))


def _is_empty(node: yaml.Node) -> bool:
    return isinstance(node, yaml.ScalarNode) and node.value == ""


def _one_line(message: object) -> str:
    return plain_text(" ".join(str(message).split()))

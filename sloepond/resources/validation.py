"""Validation of a whole set of resources; errors are returned as findings, never raised.

Combines the rules for single fields with those for sets, for documents, for plain values such
as a request body, and for typed resources.  Holds no state.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from sloepond.resources.declarations import CheckedDeclaration, check_document
from sloepond.resources.documents import Document
from sloepond.resources.field_rules import check_fields
from sloepond.resources.findings import Finding
from sloepond.resources.model import Resource
from sloepond.resources.set_rules import DeclaredSet, check_set

SNAPSHOT_SOURCE = "configuration"
"""Shown as the file in findings about resources that were not read from a file."""


class ValidatedDocuments(msgspec.Struct, frozen=True):
    """The result of validating documents as one set.

    :ivar resources: every resource that is valid by itself, in order; valid as a
        set only if `findings` is empty.
    :ivar findings: sorted by position.
    """

    resources: tuple[Resource, ...]
    findings: tuple[Finding, ...]


def validate_documents(documents: Sequence[Document]) -> ValidatedDocuments:
    """Validate documents, each by itself and all as one set."""
    checked: list[CheckedDeclaration] = [check_document(document) for document in documents]
    findings = [finding for item in checked for finding in item.findings]
    declarations = [item.declaration for item in checked]
    for declaration in declarations:
        findings.extend(check_fields(declaration))
    declared_set = DeclaredSet(declarations)
    findings.extend(check_set(declared_set))
    return ValidatedDocuments(declared_set.resources(), tuple(sorted(set(findings))))


def validate_values(values: Sequence[object], source: str = SNAPSHOT_SOURCE) -> ValidatedDocuments:
    """Validate plain values, such as a decoded request body, as one set.

    :param source: shown as the file in findings; the document number is the position, from 1.
    """
    documents = [Document(source, index, value) for index, value in enumerate(values, start=1)]
    return validate_documents(documents)


def validate_snapshot(resources: Sequence[Resource]) -> tuple[Finding, ...]:
    """Validate typed resources, such as those returned by the platform, as one set."""
    values = [msgspec.to_builtins(resource) for resource in resources]
    return validate_values(values).findings

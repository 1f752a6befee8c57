"""Validation of a whole set of resources; nothing is raised, all is reported.

Brings the rules about fields and about sets together, for documents, for plain values such as
a request body, and for typed resources.  Holds no state.
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
"""Named as the file in findings about resources that came from no file."""


class ValidatedDocuments(msgspec.Struct, frozen=True):
    """The result of checking documents as one set.

    :ivar resources: every resource that is right by itself, in order; a set to
        be taken only where `findings` is empty.
    :ivar findings: sorted by place.
    """

    resources: tuple[Resource, ...]
    findings: tuple[Finding, ...]


def validate_documents(documents: Sequence[Document]) -> ValidatedDocuments:
    """Check documents by themselves and against each other."""
    declared: list[CheckedDeclaration] = [check_document(document) for document in documents]
    findings = [finding for item in declared for finding in item.findings]
    declarations = [item.declaration for item in declared]
    for declaration in declarations:
        findings.extend(check_fields(declaration))
    declared_set = DeclaredSet(declarations)
    findings.extend(check_set(declared_set))
    return ValidatedDocuments(declared_set.resources(), tuple(sorted(set(findings))))


def validate_values(values: Sequence[object], source: str = SNAPSHOT_SOURCE) -> ValidatedDocuments:
    """Check plain values, such as a decoded request body, as one set.

    :param source: named as the file in findings; the index is the position, from 1.
    """
    documents = [Document(source, index, value) for index, value in enumerate(values, start=1)]
    return validate_documents(documents)


def validate_snapshot(resources: Sequence[Resource]) -> tuple[Finding, ...]:
    """Check typed resources, such as those the platform returned, as one set."""
    values = [msgspec.to_builtins(resource) for resource in resources]
    return validate_values(values).findings

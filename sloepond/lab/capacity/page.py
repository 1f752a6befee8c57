"""The part of a page that the command writes, between two markers."""

from __future__ import annotations

from collections.abc import Iterable

BEGIN = "<!-- capacity:begin -->"
END = "<!-- capacity:end -->"


class MarkersMissingError(ValueError):
    """A page has not exactly one begin marker followed by one end marker."""


def check_markers(page: str) -> None:
    """Check that the page has a part to write.

    :raises MarkersMissingError: if it has none, or more than one.
    """
    is_single = page.count(BEGIN) == page.count(END) == 1
    if not is_single or page.index(BEGIN) > page.index(END):
        raise MarkersMissingError(f"the page needs one {BEGIN} and one {END} after it")


def with_measures(page: str, lines: Iterable[str]) -> str:
    """Return the page with `lines` between the markers and all else as it was.

    :raises MarkersMissingError: see `check_markers`.
    """
    check_markers(page)
    before = page[: page.index(BEGIN) + len(BEGIN)]
    after = page[page.index(END) :]
    measures = "\n".join(lines).strip()
    return f"{before}\n\n{measures}\n\n{after}"

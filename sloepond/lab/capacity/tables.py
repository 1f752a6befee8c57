"""The report as tables: Markdown, or aligned text."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import msgspec

from sloepond.lab.capacity.series import CapacityReport, Estimate, Role, Series

NO_LIMIT = "-"
LONGEST_CELL = 140
LIMITS = "Limits that are not met"
ESTIMATES = "One daemon at the design size"
FAILURES = "Failures at the design size"


class ReportTable(msgspec.Struct, frozen=True):
    """A table with its title; all rows are as long as `headings`."""

    title: str
    headings: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def report_tables(report: CapacityReport) -> tuple[ReportTable, ...]:
    """Return the limits not met, the estimates, the measures by role, and the failures."""
    missed = [estimate for estimate in report.estimates if not estimate.is_met]
    roles = [role for role in Role if any(series.role is role for series in report.series)]
    return (
        _estimate_table(LIMITS, missed),
        _estimate_table(ESTIMATES, report.estimates),
        *(_series_table(role, report.series) for role in roles),
        ReportTable(
            FAILURES,
            ("failure", "effect on a cell in three halls", "cost", "carried by"),
            tuple((item.failure, item.effect, item.figures, item.mechanism) for item in report.failures),
        ),
    )


def _estimate_table(title: str, estimates: Sequence[Estimate]) -> ReportTable:
    headings = ("role", "quantity", "value", "limit", "met", "computed from")
    return ReportTable(title, headings, tuple(_estimate_row(estimate) for estimate in estimates))


def _estimate_row(estimate: Estimate) -> tuple[str, ...]:
    unit = estimate.unit
    limit = NO_LIMIT if estimate.limit is None else f"{number(estimate.limit)} {unit}"
    met = NO_LIMIT if estimate.limit is None else ("yes" if estimate.is_met else "**no**")
    value = f"{number(estimate.value)} {unit}"
    return (estimate.role.value, estimate.quantity, value, limit, met, estimate.source)


def _series_table(role: Role, all_series: Sequence[Series]) -> ReportTable:
    headings = (
        "cost",
        "measured (size: value)",
        "slope",
        "error of the fit",
        "design size",
        "value there",
        "run or computed",
    )
    rows = tuple(_series_row(series) for series in all_series if series.role is role)
    return ReportTable(f"Measured: {role.value}", headings, rows)


def _series_row(series: Series) -> tuple[str, ...]:
    fit = series.fit
    measured = "; ".join(f"{number(point.size)}: {number(point.value)}" for point in series.points)
    slope = f"{number(fit.slope)} {series.unit} per {fit.shape} ({series.size})"
    size = "one" if series.design_size is None else number(series.design_size)
    value = f"{number(series.design_value)} {series.unit}"
    error = f"{fit.relative_residual:.1%}"
    return (f"{series.cost}, {series.unit}", measured, slope, error, size, value, series.basis.value)


def number(value: float) -> str:
    """Return a number with three significant digits, or all digits of whole thousands."""
    if value != 0.0 and abs(value) < 1_000:
        return f"{value:.3g}" if abs(value) >= 1e-3 else f"{value:.2e}"
    return f"{value:,.0f}"


def markdown_lines(tables: Sequence[ReportTable]) -> Iterator[str]:
    """Yield the tables as lines of Markdown."""
    for table in tables:
        yield f"### {table.title}"
        yield ""
        if not table.rows:
            yield "None."
            yield ""
            continue
        yield _markdown_row(table.headings)
        yield _markdown_row(tuple("---" for _ in table.headings))
        for row in table.rows:
            yield _markdown_row(row)
        yield ""


def _markdown_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"


def text_lines(tables: Sequence[ReportTable]) -> Iterator[str]:
    """Yield the tables as aligned text; those with long cells as one line a cell."""
    for table in tables:
        yield table.title
        longest = max((len(cell) for row in table.rows for cell in row), default=0)
        yield from _listed_cells(table) if longest > LONGEST_CELL else _aligned_rows(table)
        yield ""


def _aligned_rows(table: ReportTable) -> Iterator[str]:
    rows = [table.headings, *table.rows]
    widths = [max(len(row[column]) for row in rows) for column in range(len(table.headings))]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield ("  " + "  ".join(cells)).rstrip()


def _listed_cells(table: ReportTable) -> Iterator[str]:
    for row in table.rows:
        for heading, cell in zip(table.headings, row, strict=True):
            yield f"  {heading}: {cell}"

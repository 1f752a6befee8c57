"""Prints the result of a scenario."""

from __future__ import annotations

from rich.console import Console
from rich.table import Table

from sloepond.demo.probes.outcome import ProbeResult


def print_result(result: ProbeResult, console: Console) -> None:
    """Print every check and the notes."""
    table = Table(title=result.scenario)
    for column in ("check", "measured", "kept"):
        table.add_column(column, overflow="fold")
    for check in result.checks:
        table.add_row(check.name, check.measured, "yes" if check.is_kept else "NO")
    console.print(table)
    for note in result.notes:
        console.print(note, soft_wrap=True)
    console.print(f"broken promises: {len(result.broken)}")

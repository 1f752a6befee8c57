"""Steps for `sloepond lab capacity`."""

from __future__ import annotations

import contextlib
import functools
import io
import math
import tempfile
from pathlib import Path

import msgspec
from behave import given, then, when
from hypothesis import assume, settings, strategies
from hypothesis import given as drawn

from sloepond.cli.capacity import JsonReport
from sloepond.cli.main import run as run_command
from sloepond.lab.capacity.fit import Point, Shape, TooFewPointsError, fit_points
from sloepond.lab.capacity.hollow_fleet import FleetPlan, HollowFleet
from sloepond.lab.capacity.page import BEGIN, END
from sloepond.lab.capacity.series import Role, Series
from sloepond.lab.capacity.tables import LIMITS, markdown_lines, report_tables, text_lines

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=60)
PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"
SIZES = strategies.lists(strategies.integers(1, 1_000_000), min_size=3, max_size=6, unique=True)
COEFFICIENTS = strategies.floats(-100.0, 100.0)


def points_of(sizes, value):
    return [Point(size, value(size)) for size in sizes]


@then("a capacity fit finds every line and every logarithm again")
def step_known_lines(context):
    @PROPERTY
    @drawn(SIZES, COEFFICIENTS, COEFFICIENTS, strategies.sampled_from(Shape))
    def check(sizes, slope, intercept, shape):
        of = math.log if shape is Shape.LOGARITHMIC else float
        fit = fit_points(points_of(sizes, lambda size: intercept + slope * of(size)), shape)
        scale = abs(intercept) + abs(slope) * of(max(sizes)) + 1.0
        assert abs(fit.value_at(2 * max(sizes)) - intercept - slope * of(2 * max(sizes))) < 1e-6 * scale
        assert abs(fit.slope - slope) < 1e-6 * scale
        assert fit.relative_residual < 1e-6

    check()


@then("the error of a capacity fit grows with the noise")
def step_noise(context):
    @PROPERTY
    @drawn(strategies.integers(4, 8), strategies.floats(0.1, 5.0), strategies.floats(0.0, 10.0))
    def check(count, noise, slope):
        def error(amplitude):
            values = [1_000.0 + slope * n + amplitude * (-1) ** n for n in range(count)]
            return fit_points([Point(n, value) for n, value in enumerate(values)]).relative_residual

        assert error(0.0) < 1e-9 < error(noise) < error(2 * noise)

    check()


@then("a capacity fit of two sizes is refused")
def step_two_sizes(context):
    for points in ([Point(1, 1.0), Point(2, 2.0)], [Point(1, 1.0), Point(2, 2.0), Point(2, 3.0)]):
        try:
            fit_points(points)
        except TooFewPointsError:
            continue
        raise AssertionError(points)


@then("no capacity series falls beyond its largest size")
def step_no_fall(context):
    @PROPERTY
    @drawn(SIZES, strategies.lists(strategies.floats(0.0, 100.0), min_size=6, max_size=6))
    def check(sizes, values):
        points = tuple(Point(size, value) for size, value in zip(sizes, values, strict=False))
        largest = max(points, key=lambda point: point.size)
        assume(largest.value > 0.0)
        series = Series(Role.PROBING, "cost", "ms", "size", points, 10.0 * largest.size)
        assert series.design_value >= largest.value
        assert series.design_value >= series.fit.value_at(10.0 * largest.size)

    check()


@given("a hollow fleet of {cells:d} capacity cells of {members:d}")
def step_fleet(context, cells, members):
    context.fleet = HollowFleet(FleetPlan(cells, members, targets=10, reading_cells=1))
    context.fleet.form()
    assert context.fleet.is_in_force_everywhere()


@when("the capacity platform declares a change that only one cell can read")
def step_publish(context):
    context.fleet.publish(1)
    assert not context.fleet.is_in_force_everywhere()


@then("the change is in force in the whole hollow fleet after {seconds:d} seconds")
def step_in_force(context, seconds):
    context.fleet.run(seconds)
    assert context.fleet.is_in_force_everywhere()


@when("a balancer of the hollow fleet crashes for {seconds:d} seconds")
def step_crash(context, seconds):
    context.fleet.crash(next(iter(context.fleet.nodes)))
    context.fleet.run(seconds)


@then("its capacity cell has a view of {first:d} and the other one of {second:d}")
def step_views(context, first, second):
    sizes = [len(host.node.membership.view.members) for host in context.fleet.nodes.values()]
    assert sizes == [first] * first + [second] * second, sizes


@then("the bytes counted in the hollow fleet are those of its datagrams")
def step_bytes(context):
    fleet, sent = context.fleet, []
    schedule = fleet.queue.schedule

    def counting(at, action, argument=None):
        if action == fleet._receive:
            sent.append(len(argument.content))
        schedule(at, action, argument)

    fleet.queue = _Counting(fleet.queue, counting)
    used = fleet.measure(3.0)
    assert used.control_bytes + used.transfer_bytes + used.data_bytes == sum(sent) > 0
    assert used.processor_s > 0.0


class _Counting:
    """An event queue whose `schedule` is another function."""

    def __init__(self, queue, schedule):
        self._queue = queue
        self.schedule = schedule

    def __getattr__(self, name):
        return getattr(self._queue, name)


@functools.cache
def tiny_run():
    """Run the command once; return its JSON output and the page it wrote into."""
    output = io.StringIO()
    with tempfile.TemporaryDirectory() as directory, contextlib.redirect_stdout(output):
        page = Path(directory) / "page.md"
        page.write_text(f"before\n{BEGIN}\nold\n{END}\nafter\n")
        assert run_command(["lab", "capacity", "--tiny", "--json", "--page", str(page)]) == 0
        return msgspec.json.decode(output.getvalue(), type=JsonReport), page.read_text()


@when("the lab capacity command runs with tiny sizes")
@when("the lab capacity command with tiny sizes writes into a page with markers")
def step_tiny(context):
    context.capacity, context.capacity_page = tiny_run()


@then("that capacity page has the Markdown tables between them and its own text around them")
def step_written(context):
    written = context.capacity_page
    assert written.startswith(f"before\n{BEGIN}\n") and written.endswith(f"{END}\nafter\n"), written[-99:]
    assert "\nold\n" not in written
    lines = "\n".join(markdown_lines(context.capacity.tables)).strip()
    assert lines in written.partition(BEGIN)[2].partition(END)[0]


@then("a capacity page without its two markers is refused and stays as it is")
def step_refused(context):
    for text in ("", f"{BEGIN}\n", f"{END}\n{BEGIN}\n", f"{BEGIN}\n{END}\n{BEGIN}\n{END}\n"):
        errors = io.StringIO()
        with tempfile.TemporaryDirectory() as directory, contextlib.redirect_stderr(errors):
            page = Path(directory) / "page.md"
            page.write_text(text)
            assert run_command(["lab", "capacity", "--tiny", "--page", str(page)]) == 2
            assert page.read_text() == text
            assert str(page) in errors.getvalue()


@then("each capacity series has three sizes or more and a fit")
def step_sizes(context):
    for series in context.capacity.report.series:
        sizes = {point.size for point in series.points}
        assert len(sizes) == len(series.points) >= 3, series.cost
        assert all(point.value >= 0.0 for point in series.points) or series.role is Role.DATA_PATH, series
        assert math.isfinite(series.fit.slope) and math.isfinite(series.design_value), series.cost


@then("the capacity report covers every role and names every limit that is not met first")
def step_roles(context):
    report = context.capacity.report
    assert {series.role for series in report.series} == set(Role)
    assert {estimate.role for estimate in report.estimates} == set(Role)
    assert len(report.failures) == 4
    first = context.capacity.tables[0]
    assert first.title == LIMITS
    missed = [item.quantity for item in report.estimates if item.limit and item.value > item.limit]
    assert [row[1] for row in first.rows] == missed


@then("the capacity tables are complete in text and in Markdown")
def step_tables(context):
    tables = report_tables(context.capacity.report)
    text = "\n".join(text_lines(tables))
    lines = list(markdown_lines(tables))
    for table in tables:
        assert f"### {table.title}" in lines and table.title in text
        for row in table.rows:
            assert len(row) == len(table.headings)
            assert all(cell in text for cell in row)
    assert sum(line.startswith("|") for line in lines) == sum(
        len(table.rows) + 2 for table in tables if table.rows
    )


@then("the capacity page has every table of the command and every cost in it")
def step_page(context):
    block = PAGE.read_text().partition(BEGIN)[2].partition(END)[0]
    for table in context.capacity.tables:
        assert f"### {table.title}" in block, table.title
    for series in context.capacity.report.series:
        assert f"| {series.cost}, {series.unit} |" in block, series.cost
    for estimate in context.capacity.report.estimates:
        assert f"| {estimate.quantity} |" in block, estimate.quantity

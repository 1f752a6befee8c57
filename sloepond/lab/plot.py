"""Plots one result: load of each back end, broken flows and control bytes over time.

Owns no state.  Relies on matplotlib, an optional dependency that is imported only when a plot is drawn.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from sloepond.lab.result import LabResult

_WIDTH_INCHES = 10.0
_HEIGHT_INCHES = 9.0
_PANELS = 3
_MARKER_SIZE_POINTS = 3.0


def plot_result(result: LabResult, path: Path) -> None:
    """Write a PNG plot of `result` to `path`.

    :raises ImportError: if matplotlib is not installed.
    """
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    figure = Figure(figsize=(_WIDTH_INCHES, _HEIGHT_INCHES))
    canvas = FigureCanvasAgg(figure)
    load, broken, control = figure.subplots(_PANELS, 1, sharex=True)
    figure.suptitle(f"{result.scenario}, seed {result.seed}")
    _draw_load(load, result)
    _draw_broken(broken, result)
    _draw_control(control, result)
    control.set_xlabel("seconds after the balancers have started")
    figure.tight_layout()
    canvas.print_png(str(path))


def _draw_load(axes: Any, result: LabResult) -> None:
    for backend, values in sorted(result.series.in_flight.items()):
        axes.plot(range(1, len(values) + 1), values, linewidth=0.8, label=backend)
    axes.set_ylabel("requests in flight")
    axes.legend(fontsize="x-small", ncols=2, loc="upper right")


def _draw_broken(axes: Any, result: LabResult) -> None:
    times = sorted(result.series.broken_at)
    end = float(len(result.series.control_bytes))
    axes.step([0.0, *times, end], [*range(len(times) + 1), len(times)], where="post")
    axes.set_ylim(bottom=0, top=max(1.0, 1.1 * len(times)))
    for entry in result.timeline:
        axes.axvline(entry.at, linewidth=0.5, color="grey")
    axes.set_ylabel("broken flows")


def _draw_control(axes: Any, result: LabResult) -> None:
    values = result.series.control_bytes
    axes.plot(range(1, len(values) + 1), values, marker=".", markersize=_MARKER_SIZE_POINTS)
    axes.set_ylabel("control bytes/s per balancer")
    axes.set_ylim(bottom=0)

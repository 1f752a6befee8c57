"""Runs all measures and computes what follows from them."""

from __future__ import annotations

import multiprocessing
import resource
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from sloepond.lab.capacity.api_costs import api_series
from sloepond.lab.capacity.configuration_costs import configuration_series
from sloepond.lab.capacity.data_path_costs import data_path_series
from sloepond.lab.capacity.estimates import Estimator
from sloepond.lab.capacity.failures import failure_estimates
from sloepond.lab.capacity.fleet_costs import fleet_series, listed_series
from sloepond.lab.capacity.flow_costs import table_series, view_change_series
from sloepond.lab.capacity.membership_costs import membership_series
from sloepond.lab.capacity.plan import CapacityPlan
from sloepond.lab.capacity.probing_costs import probing_series
from sloepond.lab.capacity.series import CapacityReport, Series

KILOBYTE = 1_024

SeriesSource = Callable[[CapacityPlan], tuple[Series, ...]]

SOURCES: tuple[tuple[str, SeriesSource], ...] = (
    ("flow table", table_series),
    ("probing", probing_series),
    ("operators' API", api_series),
    ("membership", membership_series),
    ("data path", data_path_series),
    ("changes of view", view_change_series),
    ("configuration", configuration_series),
    ("a cell in a large fleet", listed_series),
)

ProgressReport = Callable[[str], None]


def measure_capacity(plan: CapacityPlan, report: ProgressReport) -> CapacityReport:
    """Measure the hollow fleets in a process of their own, and all else one after the other in this one.

    :param report: told the name of each part before it is measured.
    """
    started = time.monotonic()
    resident_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KILOBYTE
    with ProcessPoolExecutor(max_workers=1, mp_context=multiprocessing.get_context("spawn")) as executor:
        fleets = executor.submit(fleet_series, plan)
        measured: list[Series] = []
        for name, source in SOURCES:
            report(name)
            measured += source(plan)
        report("hollow fleets")
        series = (*measured, *fleets.result())
    estimator = Estimator(series, resident_bytes)
    return CapacityReport(
        series=series,
        estimates=estimator.all(),
        failures=failure_estimates(estimator),
        seconds=time.monotonic() - started,
        resident_bytes=resident_bytes,
    )

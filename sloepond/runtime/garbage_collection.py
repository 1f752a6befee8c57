"""Configures Python's garbage collector for a process with many long-lived objects.

Owns the thresholds of the process.  Relies on reference counting to free almost all objects.
"""

from __future__ import annotations

import gc

THRESHOLDS = (20_000, 20, 50)
"""Allocations between collections of the youngest generation, and collections of each generation
between two of the next older one.

Python's defaults are 700, 10 and 10.  Packets and flows hold no cycles and are freed without the
collector, so it may run about thirty times less often.
"""


def tune_garbage_collection() -> None:
    """Collect less often, and exclude the objects that exist already.

    Flows and packets hold no cycles, so almost all memory is freed without the collector; its passes
    over the open flows would only cost time.
    """
    gc.collect()
    resume_garbage_collection()


def resume_garbage_collection() -> None:
    """Enable the collector in a process that was started with it disabled."""
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)
    gc.enable()

"""Settings of Python's garbage collector for a process with much long-lived state.

Owns the thresholds of the process.  Relies on reference counting to free nearly everything.
"""

from __future__ import annotations

import gc

THRESHOLDS = (20_000, 20, 50)
"""Allocations between collections of the youngest objects, and collections of each generation
between two of the next older one.

Not measured: Python's defaults are 700, 10 and 10.  Packets and flows hold no cycles and are freed
without the collector, so it may run about thirty times as rarely.
"""


def tune_garbage_collection() -> None:
    """Collect less often, and leave out what was made before.

    Flows and packets hold no cycles, so nearly all memory is freed without the
    collector; its passes over the open flows would only take time.
    """
    gc.collect()
    resume_garbage_collection()


def resume_garbage_collection() -> None:
    """Begin to collect in a process that has loaded with the collector switched off."""
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)
    gc.enable()

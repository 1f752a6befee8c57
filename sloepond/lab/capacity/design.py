"""The size the balancer is built for, its limits, and what follows from them."""

from __future__ import annotations

DAEMONS = 15_000
TARGETS = 120_000
ADDRESSES = 18_000
OPEN_FLOWS = 290_000_000
NEW_FLOWS_PER_S = 670_000
REGIONS = 8
ZONES = 20
CHANGES_PER_DAY = 37_000
IN_FORCE_S = 4.0
FAILURES_PER_DAY = 210
RESTARTS_PER_DAY = 23_000

PROCESSOR_LIMIT = 0.011
"""Share of one core of a daemon for control."""
MEMORY_LIMIT = 256_000_000
"""Bytes of a daemon for control."""
BYTES_LIMIT = 2_048.0
"""Bytes a second a daemon sends for control."""

CELL = 10
"""Members of a cell, in three halls: 4, 3 and 3."""
REPLICAS = 3
CELLS = DAEMONS / CELL
DAY_S = 86_400.0
HOUR_S = 3_600.0
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S
CHANGES_PER_HOUR = CHANGES_PER_DAY / 24.0
FLOWS_PER_DAEMON = OPEN_FLOWS / DAEMONS
ENTRIES_PER_DAEMON = FLOWS_PER_DAEMON * REPLICAS
NEW_FLOWS_PER_DAEMON_S = NEW_FLOWS_PER_S / DAEMONS
PACKET_HEADER_BYTES = 28
"""Bytes of IPv4 and UDP headers, which belong to what a link carries."""

MACHINE_LIST_INTERVAL_S = 10.0
"""Time between reads of the list of machines; the default of the settings."""
SCRAPE_INTERVAL_S = 15.0
"""Assumed time between reads of a daemon's metrics, and of its status."""

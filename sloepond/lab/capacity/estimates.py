"""What the measured costs come to for one daemon at the design size."""

from __future__ import annotations

from collections.abc import Iterator

from sloepond.lab.capacity import api_costs as api
from sloepond.lab.capacity import configuration_costs as configuration
from sloepond.lab.capacity import data_path_costs as data_path
from sloepond.lab.capacity import design
from sloepond.lab.capacity import fleet_costs as fleet
from sloepond.lab.capacity import flow_costs as flows
from sloepond.lab.capacity import membership_costs as membership
from sloepond.lab.capacity import probing_costs as probing
from sloepond.lab.capacity.series import Estimate, Role, Series, series_of

MEGABYTE = 1e6
SHARE = "share of a core"
BYTES_PER_S = "bytes/s"
PROBERS = 2
"""Balancers of a cell that probe each back end; the default of the settings."""


class Estimator:
    """Computes the estimates from the series of one run.

    :param resident_bytes: memory of this process before any measure.
    """

    def __init__(self, series: tuple[Series, ...], resident_bytes: int) -> None:
        self._series = series
        self._resident_bytes = resident_bytes

    def value(self, cost: str) -> float:
        """Return a cost at the design size, in the unit of its series."""
        return series_of(self._series, cost).design_value

    def view_change_value(self, change: str, cost: str) -> float:
        """Return a cost of one change of view at the design size."""
        return self.value(flows.change_name(change, cost))

    def all(self) -> tuple[Estimate, ...]:
        """Return all estimates, the whole daemon first."""
        return (
            *self._whole(),
            *self._membership(),
            *self._configuration(),
            *self._platform(),
            *self._probing(),
            *self._flow_state(),
            *self._data_path(),
            *self._api(),
        )

    # Rates of one daemon

    @property
    def receiving_share(self) -> float:
        """Share of a core for changes, at every balancer."""
        change_ms = self.value(configuration.RECEIVER) + self.value(configuration.HEALTH_CHANGE)
        return change_ms / 1e3 * design.CHANGES_PER_S

    @property
    def reading_share(self) -> float:
        """Share of a core for reading the platform, at the reader of a cell."""
        read_ms = self.value(configuration.READ_PROCESSOR) + self.value(configuration.READER)
        return read_ms / 1e3 * design.CHANGES_PER_S

    @property
    def change_bytes_per_s(self) -> float:
        """Bytes a second to peers for changes."""
        return self.value(membership.CHANGE_BYTES) * design.CHANGES_PER_S

    @property
    def machine_list_share(self) -> float:
        """Share of a core for reading the list of machines."""
        return self.value(configuration.MACHINE_LIST_PROCESSOR) / 1e3 / design.MACHINE_LIST_INTERVAL_S

    @property
    def probe_exchange_share(self) -> float:
        """Share of a core for sending probes and taking their answers, without choosing them."""
        return self.value(probing.PROBES) * self.value(probing.EXCHANGE_PROCESSOR) / 1e3

    @property
    def probe_bytes_per_s(self) -> float:
        """Bytes a second of probes, with headers."""
        size = self.value(probing.EXCHANGE_BYTES) + design.PACKET_HEADER_BYTES
        return self.value(probing.PROBES) * size

    @property
    def api_share(self) -> float:
        """Share of a core for one status and one reading of the metrics each interval."""
        both_ms = self.value(api.STATUS_BY_PEERS) + self.value(api.METRICS_BY_PEERS)
        return both_ms / 1e3 / design.SCRAPE_INTERVAL_S

    def per_day(self, cost: str) -> float:
        """Return what the changes of view of an ordinary day cost all cells.

        Each failure is a crash and a return, each restart a planned leave and a return.
        """
        returned = self.view_change_value(flows.RETURN, cost)
        failures = design.FAILURES_PER_DAY * (self.view_change_value(flows.CRASH, cost) + returned)
        return failures + design.RESTARTS_PER_DAY * (self.view_change_value(flows.LEAVE, cost) + returned)

    @property
    def transfer_bytes_per_s(self) -> float:
        """Bytes a second of entries and digests sent by a daemon, over an ordinary day."""
        return self.per_day(flows.TRANSFER) * 1e3 / design.DAEMONS / design.DAY_S

    @property
    def view_change_share(self) -> float:
        """Share of a core of a daemon for changes of view, over an ordinary day."""
        return self.per_day(flows.PROCESSOR) / 1e3 / design.DAEMONS / design.DAY_S

    @property
    def control_share(self) -> float:
        """Share of a core for control of a daemon that does not read the platform's configuration."""
        return (
            self.value(fleet.LISTED_PROCESSOR) / 1e3
            + self.probe_exchange_share
            + self.receiving_share
            + self.machine_list_share
            + self.api_share
            + self.view_change_share
        )

    # Roles

    def _whole(self) -> Iterator[Estimate]:
        role = Role.WHOLE
        limit = design.PROCESSOR_LIMIT
        peers = self.value(fleet.LISTED_BYTES) + self.change_bytes_per_s
        headers = self.value(fleet.LISTED_HEADER_BYTES) + self.change_bytes_per_s
        held = self._resident_bytes / MEGABYTE + self.value(configuration.MEMORY)
        peak = held + self.value(configuration.MEMORY_PEAK)
        memory_limit = design.MEMORY_LIMIT / MEGABYTE
        yield Estimate(
            role,
            "control, processor, a balancer that is not the reader",
            self.control_share,
            SHARE,
            limit,
            "idle in a large fleet + probe exchanges + changes + list of machines + API + changes of view",
        )
        yield Estimate(
            role,
            "control, processor, the reader of a cell (1 in 10)",
            self.control_share + self.reading_share,
            SHARE,
            limit,
            "the same + whole reads, at most one for each change",
        )
        yield Estimate(
            role,
            "control sent to peers, UDP payload",
            peers,
            BYTES_PER_S,
            design.BYTES_LIMIT,
            "idle in a large fleet + bytes of a change x changes/s",
        )
        yield Estimate(
            role,
            "control sent to peers, with IPv4 and UDP headers",
            headers,
            BYTES_PER_S,
            design.BYTES_LIMIT,
            "the same with headers of the heartbeats",
        )
        yield Estimate(
            role,
            "all sent besides data: the same + probes + transfers",
            headers + self.probe_bytes_per_s + self.transfer_bytes_per_s,
            BYTES_PER_S,
            design.BYTES_LIMIT,
            "+ probes/s x bytes + entries copied on an ordinary day",
        )
        yield Estimate(
            role,
            "idle control, processor, by the line over hollow fleets",
            self.value(fleet.FLEET_PROCESSOR) / 1e3,
            SHARE,
            limit,
            "line over fleets of 10, 100 and 1,000 in one process",
        )
        yield Estimate(
            role,
            "idle control sent to peers with headers, by the line over hollow fleets",
            self.value(fleet.FLEET_HEADER_BYTES),
            BYTES_PER_S,
            design.BYTES_LIMIT,
            "line over fleets of 10, 100 and 1,000",
        )
        yield Estimate(
            role,
            "memory of a balancer that is not the reader, without flow entries",
            held,
            "MB",
            memory_limit,
            "interpreter and modules + configuration in force",
        )
        yield Estimate(
            role,
            "memory of the reader of a cell, at the peak, without flow entries",
            peak,
            "MB",
            memory_limit,
            "the same + a whole read beside it",
        )
        yield Estimate(
            role,
            "memory of the reader of a cell, at the peak, with its flow entries",
            peak + self.value(flows.ENTRY_MEMORY),
            "MB",
            memory_limit,
            "the same + entries",
        )

    def _membership(self) -> Iterator[Estimate]:
        role = Role.MEMBERSHIP
        yield Estimate(
            role,
            "heartbeats of a cell of 10, UDP payload",
            self.value(membership.IDLE_BYTES),
            BYTES_PER_S,
            design.BYTES_LIMIT,
            "cell of 10 as run",
        )
        yield Estimate(
            role,
            "processor, idle, 10 targets",
            self.value(membership.IDLE_PROCESSOR) / 1e3,
            SHARE,
            design.PROCESSOR_LIMIT,
            "cell of 10 as run",
        )
        yield Estimate(
            role,
            "processor for changes of view, ordinary day",
            self.view_change_share,
            SHARE,
            design.PROCESSOR_LIMIT,
            "changes of a day x processor time of the cell / daemons",
        )

    def _configuration(self) -> Iterator[Estimate]:
        role = Role.CONFIGURATION
        limit = design.PROCESSOR_LIMIT
        yield Estimate(
            role, "changes, processor, every balancer", self.receiving_share, SHARE, limit, "ms x changes/s"
        )
        yield Estimate(
            role, "whole reads, processor, the reader", self.reading_share, SHARE, limit, "ms x changes/s"
        )
        yield Estimate(
            role,
            "changes, sent to peers",
            self.change_bytes_per_s,
            BYTES_PER_S,
            design.BYTES_LIMIT,
            "bytes x changes/s",
        )
        yield Estimate(
            role,
            "memory in force",
            self.value(configuration.MEMORY),
            "MB",
            design.MEMORY_LIMIT / MEGABYTE,
            "line over targets",
        )
        for cost in (
            configuration.ORDINARY_MEAN,
            configuration.ORDINARY_SLOWEST,
            configuration.SPREAD_MEAN,
            configuration.SPREAD_SLOWEST,
        ):
            yield Estimate(role, cost, self.value(cost), "s", design.IN_FORCE_S, "line over log(cells)")

    def _platform(self) -> Iterator[Estimate]:
        role = Role.PLATFORM_READS
        read_bytes = self.value(configuration.READ_BYTES) * MEGABYTE * design.CHANGES_PER_S
        list_bytes = self.value(configuration.MACHINE_LIST_BYTES) * MEGABYTE / design.MACHINE_LIST_INTERVAL_S
        yield Estimate(
            role,
            "reads of the configuration, all cells",
            self.value(fleet.CONFIGURATION_READS),
            "1/s",
            None,
            "line over cells",
        )
        yield Estimate(
            role,
            "reads of the list of machines, all balancers",
            self.value(fleet.MACHINE_LIST_READS),
            "1/s",
            None,
            "line over balancers",
        )
        yield Estimate(
            role,
            "whole configurations read by the reader of a cell",
            read_bytes,
            BYTES_PER_S,
            design.BYTES_LIMIT,
            "body x changes/s: at most one whole read for each change",
        )
        yield Estimate(
            role,
            "lists of machines read by a balancer",
            list_bytes,
            BYTES_PER_S,
            design.BYTES_LIMIT,
            "body / 10 s",
        )
        yield Estimate(
            role,
            "processor for lists of machines",
            self.machine_list_share,
            SHARE,
            design.PROCESSOR_LIMIT,
            "ms / 10 s",
        )
        total = read_bytes * design.CELLS + list_bytes * design.DAEMONS
        yield Estimate(
            role, "served by the platform", total / MEGABYTE, "MB/s", None, "both, all cells and balancers"
        )

    def _probing(self) -> Iterator[Estimate]:
        role = Role.PROBING
        probes = self.value(probing.PROBES)
        share = self.value(probing.WALK_PROCESSOR) / 1e3 + self.probe_exchange_share
        round_s = design.TARGETS * PROBERS / design.CELL / probes
        yield Estimate(role, "probes of a balancer", probes, "1/s", None, "line over targets")
        yield Estimate(role, "processor", share, SHARE, design.PROCESSOR_LIMIT, "walk + exchanges of probes")
        yield Estimate(
            role,
            "probes sent, with headers",
            self.probe_bytes_per_s,
            BYTES_PER_S,
            design.BYTES_LIMIT,
            "probes/s x bytes",
        )
        yield Estimate(
            role,
            "time between two probes of a target by one prober",
            round_s,
            "s",
            None,
            "own share / probes/s",
        )

    def _flow_state(self) -> Iterator[Estimate]:
        role = Role.FLOW_STATE
        yield Estimate(
            role,
            f"memory of {design.ENTRIES_PER_DAEMON:,.0f} entries",
            self.value(flows.ENTRY_MEMORY),
            "MB",
            None,
            "line over entries",
        )
        yield Estimate(
            role,
            "entries copied, ordinary day",
            self.transfer_bytes_per_s,
            BYTES_PER_S,
            None,
            "changes of a day x bytes of the cell / daemons",
        )

    def _data_path(self) -> Iterator[Estimate]:
        role = Role.DATA_PATH
        new_flow = data_path.PATHS[0]
        rate = design.NEW_FLOWS_PER_DAEMON_S
        yield Estimate(
            role,
            f"processor for {rate:.1f} new flows/s",
            self.value(data_path.processor_name(new_flow)) / 1e3 * rate,
            SHARE,
            None,
            "ms of a new flow, over all balancers x rate of one",
        )
        yield Estimate(
            role,
            f"bytes between balancers for {rate:.1f} new flows/s",
            self.value(data_path.bytes_name(new_flow)) * 1e3 * rate,
            BYTES_PER_S,
            None,
            "bytes of a new flow x rate of one",
        )

    def _api(self) -> Iterator[Estimate]:
        yield Estimate(
            Role.OPERATORS_API,
            "processor for a status and metrics each 15 s (assumed), without HTTP",
            self.api_share,
            SHARE,
            design.PROCESSOR_LIMIT,
            "ms / 15 s",
        )

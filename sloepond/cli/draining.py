"""The commands `drain` and `undrain`, for a back end or a whole zone."""

from __future__ import annotations

from typing import NamedTuple

from sloepond.cli.access_options import open_balancers, open_platform, report_update
from sloepond.cli.configuration_update import set_backend_state, set_zone_state
from sloepond.cli.endpoints import ApiUrls
from sloepond.cli.exit_codes import BAD_INPUT
from sloepond.cli.failures import CommandFailure, report_failure
from sloepond.cli.operator import DEFAULT_TIMEOUT_S
from sloepond.resources.model import BackendState, ZoneState

ZONE_KEYWORD = "zone"
"""First argument if the command applies to a zone."""


def drain(
    subject: str,
    zone: str = "",
    *,
    platform: str | None = None,
    wait: bool = False,
    timeout: float = DEFAULT_TIMEOUT_S,
    api: ApiUrls | None = None,
    token: str | None = None,
) -> int:
    """Stop new flows to a back end or a whole zone: `drain BACKEND` or `drain zone NAME`.

    Established flows continue.  Files in version control are not changed: a later `apply`
    of them sets the state that they declare.

    :param subject: name of the back end, or `zone`
    :param zone: name of the zone if the first argument is `zone`
    :param platform: URL of the platform (environment: SLOEPOND_PLATFORM)
    :param wait: wait until the generation is in force on every live balancer
    :param timeout: seconds to wait before exit code 3
    :param api: URL of a balancer's API, repeatable; at least one in each cell (environment: SLOEPOND_API)
    :param token: bearer token of the balancers' API (environment: SLOEPOND_TOKEN)
    """
    states = TargetStates(BackendState.DRAINING, ZoneState.EVACUATED)
    return _set_state(subject, zone, states, platform, WaitOptions(wait, timeout, api, token))


def undrain(
    subject: str,
    zone: str = "",
    *,
    platform: str | None = None,
    wait: bool = False,
    timeout: float = DEFAULT_TIMEOUT_S,
    api: ApiUrls | None = None,
    token: str | None = None,
) -> int:
    """Allow new flows to a back end or a zone again: `undrain BACKEND` or `undrain zone NAME`.

    :param subject: name of the back end, or `zone`
    :param zone: name of the zone if the first argument is `zone`
    :param platform: URL of the platform (environment: SLOEPOND_PLATFORM)
    :param wait: wait until the generation is in force on every live balancer
    :param timeout: seconds to wait before exit code 3
    :param api: URL of a balancer's API, repeatable; at least one in each cell (environment: SLOEPOND_API)
    :param token: bearer token of the balancers' API (environment: SLOEPOND_TOKEN)
    """
    states = TargetStates(BackendState.ACTIVE, ZoneState.ACTIVE)
    return _set_state(subject, zone, states, platform, WaitOptions(wait, timeout, api, token))


class TargetStates(NamedTuple):
    """The states that a command sets: one for a back end, one for a zone."""

    backend: BackendState
    zone: ZoneState


class WaitOptions(NamedTuple):
    """Whether and how a command waits until its change is in force."""

    wait: bool
    timeout_s: float
    api: ApiUrls | None
    token: str | None


def _set_state(
    subject: str, zone: str, states: TargetStates, platform: str | None, options: WaitOptions
) -> int:
    """Set the state of the zone if one is given, else that of the back end."""
    if zone and subject != ZONE_KEYWORD:
        return report_failure(CommandFailure(BAD_INPUT, f"name a back end, or {ZONE_KEYWORD} and its name"))
    balancers = open_balancers(options.api, options.token) if options.wait else None
    if isinstance(balancers, CommandFailure):
        return report_failure(balancers)
    access = open_platform(platform)
    if isinstance(access, CommandFailure):
        return report_failure(access)
    if zone:
        update = set_zone_state(access, zone, states.zone)
    else:
        update = set_backend_state(access, subject, states.backend)
    return report_update(update, balancers, options.timeout_s)

"""The command `sloepond balancer`, which runs the daemon."""

from __future__ import annotations

import functools
import importlib.util
import pathlib
import random
import sys

import trio

from sloepond.core.messages import Member
from sloepond.core.node import Node
from sloepond.runtime.daemon import BalancerDaemon, Extension
from sloepond.runtime.exit_code import ExitCode
from sloepond.runtime.garbage_collection import tune_garbage_collection
from sloepond.runtime.logs import create_log_handler, create_logger
from sloepond.runtime.reloading import SettingsReloader
from sloepond.runtime.settings import BalancerSettings
from sloepond.runtime.settings_file import SettingsOverride, load_settings
from sloepond.runtime.signals import SignalTask
from sloepond.runtime.unread_settings import unread_warning


def balancer(
    *,
    settings: pathlib.Path,
    name: str = "",
    region: str = "",
    zone: str = "",
    hall: str = "",
    edge_address: str = "",
    backend_address: str = "",
    peer_address: str = "",
    api_address: str = "",
    platform_url: str = "",
    check_settings: bool = False,
) -> int:
    """Run a balancer until SIGTERM stops it.

    Flags override the settings file.

    :param settings: settings file (TOML).
    :param name: name of this balancer.
    :param region: region of this machine.
    :param zone: zone of this machine.
    :param hall: hall of this machine.
    :param edge_address: ip:port for callers' packets from the fabric.
    :param backend_address: ip:port for packets to and from back ends.
    :param peer_address: ip:port for messages to and from other balancers.
    :param api_address: ip:port of the operators' API.
    :param platform_url: base URL of the platform's service.
    :param check_settings: check the settings, print all findings and exit.
    :returns: 0 after a planned stop, 1 after a forced one, 2 if the settings are refused.
    """
    flags = {
        ("name",): name,
        ("location", "region"): region,
        ("location", "zone"): zone,
        ("location", "hall"): hall,
        ("edge_address",): edge_address,
        ("backend_address",): backend_address,
        ("peer_address",): peer_address,
        ("api_address",): api_address,
        ("platform", "url"): platform_url,
    }
    overrides = tuple(SettingsOverride(path, value) for path, value in flags.items() if value)
    checked = load_settings(settings, overrides)
    if checked.settings is None:
        print(*checked.findings, sep="\n", file=sys.stderr)
        return ExitCode.REFUSED
    if check_settings:
        if checked.unread:
            print(unread_warning(checked.unread), file=sys.stderr)
        print("settings are valid")
        return ExitCode.STOPPED
    return _run(checked.settings, settings, overrides, checked.unread)


def _run(
    settings: BalancerSettings,
    file: pathlib.Path,
    overrides: tuple[SettingsOverride, ...],
    unread: tuple[str, ...],
) -> ExitCode:
    """Run a balancer until it has stopped.

    :param file: settings file, read again with the overrides on SIGHUP.
    :param unread: settings in the file that have no effect; logged once.
    """
    handler = create_log_handler(settings.log)
    logger = create_logger()
    reloader = SettingsReloader(file, overrides, handler)
    extensions: list[Extension] = [SignalTask(reloader.reload).run, *_api_extension(settings)]
    with handler.applicationbound():
        if unread:
            logger.warning("{}", unread_warning(unread))
        try:
            daemon = BalancerDaemon(settings, _make_node, logger)
        except OSError as error:
            logger.error("an address cannot be bound: {}", error)
            return ExitCode.REFUSED
        tune_garbage_collection()
        return trio.run(functools.partial(daemon.run, *extensions))


def _make_node(identity: Member, settings: BalancerSettings, random_source: random.Random) -> Node:
    return Node(identity, settings.node, random_source)


def _api_extension(settings: BalancerSettings) -> list[Extension]:
    """Return the task of the operators' API if it has an address and is installed."""
    if not settings.api_address or importlib.util.find_spec("sloepond.api.server") is None:
        return []
    from sloepond.api.server import serve_daemon

    return [serve_daemon]

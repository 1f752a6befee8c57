"""Steps on settings that are accepted but have no effect."""

from __future__ import annotations

import contextlib
import io
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then
from runtime_daemon import settings_text

from sloepond.cli.main import run
from sloepond.runtime.settings_file import check_settings

START_S = 30
"""Timeout for the start and the end of a balancer on a busy machine, in seconds."""

NODE_TABLES = """
[node]
stall_s = 1.5
[node.membership]
cell = "accra-1"
bootstrap = ["b1", "b2"]
seeds = ["127.0.0.1:7300"]
heartbeat_interval_s = 0.5
suspect_after_s = 1.2
evict_after_s = 3.0
lease_s = 2.0
clock_margin_s = 0.0
proposal_timeout_s = 0.5
machine_list_interval_s = 9.0
[node.configuration]
read_interval_s = 1.0
startup_wait_s = 0.0
part_bytes = 1000
bytes_per_second = 1000000
delta_history = 0
request_timeout_s = 0.4
[node.routing]
partitions = 64
replicas = 5
policy = "two-choices"
record_retry_s = 0.05
record_attempts = 6
lookup_timeout_s = 0.08
transfer_bytes_per_second = 64000
maximum_flows = 400000
maximum_hops = 4
search_timeout_s = 0.1
[node.requests]
retry_ratio = 0.0
retry_burst = 0.0
answer_cache_bytes = 0
answer_cache_s = 0.0
datagram_lifetime_s = 2.0
retry_after_ms = 500
[node.health]
probe_interval_s = 1.0
probe_timeout_s = 0.5
probers_per_backend = 2
estimate_half_life_s = 1.0
eject_after_failures = 5
eject_s = 5.0
eject_maximum_s = 60.0
minimum_available = 0.0
slow_start_s = 0.0
samples_per_heartbeat = 0
[node.stop]
deadline_s = 4.0
idle_s = 0.0
"""
"""Every setting of the table `node` that any version accepts."""

READ = (
    "node.membership.seeds",
    "node.membership.machine_list_interval_s",
    "node.configuration.read_interval_s",
    "node.configuration.startup_wait_s",
    "node.configuration.part_bytes",
    "node.configuration.bytes_per_second",
    "node.configuration.delta_history",
    "node.configuration.request_timeout_s",
    "node.stop.deadline_s",
)


def without_effect():
    """Return the settings of `NODE_TABLES` that have no effect, in their order."""
    names = []
    for line in NODE_TABLES.splitlines():
        if line.startswith("["):
            table = line.strip("[]")
        elif line:
            names.append(f"{table}.{line.partition(' ')[0]}")
    shown = {"node.routing.policy": 'node.routing.policy = "two-choices"'}
    return [shown.get(name, name) for name in names if name not in READ]


def warnings_in(text):
    """Return the lines about settings without effect."""
    return [line for line in text.splitlines() if "no effect" in line]


def check_one_warning(text):
    """Check that exactly one line names all settings without effect, and no other setting."""
    (line,) = warnings_in(text)
    names = line.rpartition(": ")[2].split(", ")
    assert sorted(names) == sorted(without_effect()), names


@given("a runtime settings file with every setting that any version accepts")
def step_every_setting(context):
    context.settings_text, context.overrides = settings_text() + NODE_TABLES, ()


@then("the runtime check reports each setting without effect, and no other")
def step_unread(context):
    unread = check_settings(context.settings_text, "test").unread
    assert sorted(unread) == sorted(without_effect()), unread


@then("the runtime check reports these settings as without effect: {names}")
def step_unread_names(context, names):
    unread = check_settings(context.settings_text, "test", context.overrides).unread
    assert (", ".join(unread) or "none") == names, unread


@then("the runtime settings command accepts the file, with one line that names them")
def step_command(context):
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory, "balancer.toml")
        file.write_text(context.settings_text)
        errors, output = io.StringIO(), io.StringIO()
        with contextlib.redirect_stderr(errors), contextlib.redirect_stdout(output):
            code = run(["balancer", "--settings", str(file), "--check-settings"])
    assert code == 0, code
    assert output.getvalue() == "settings are valid\n", output.getvalue()
    check_one_warning(errors.getvalue())


@then("a runtime balancer that starts with the file logs one line that names them")
def step_start(context):
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory, "balancer.toml")
        file.write_text(context.settings_text)
        command = [sys.executable, "-m", "sloepond", "balancer", "--settings", str(file)]
        with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
            first = process.stderr.readline()
            process.send_signal(signal.SIGTERM)
            rest = process.communicate(timeout=START_S)[1]
    check_one_warning(first + rest)

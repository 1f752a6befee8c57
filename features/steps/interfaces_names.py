"""Collects the public names from the running code, in sets as recorded in names.json."""

from __future__ import annotations

import contextlib
import enum
import io
import json
import os
import random
import re
import tomllib
import types

import logbook
import msgspec
from prometheus_client.parser import text_string_to_metric_families

from sloepond.api.application import create_app
from sloepond.api.errors import HTTP_STATUS
from sloepond.api.feed import ConfigurationFeed
from sloepond.api.metrics import Metrics
from sloepond.api.status import BalancerStatus, build_status
from sloepond.cli import exit_codes, main
from sloepond.cli.endpoints import ENVIRONMENT_HELP
from sloepond.core.commands import TransitionKind
from sloepond.core.counters import Counters
from sloepond.core.forwarding.commands import LogKind, WriteLog
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import BackendsRead
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.core.forwarding.packets import Refusal
from sloepond.core.forwarding.state.backend_records import BackendRecord, BackendState
from sloepond.core.status import NodeStatus, PeerReport
from sloepond.platform.settings import DEFAULT_FILE, FILE_VARIABLE, METRICS_PORT, parse_settings
from sloepond.resources import model
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.content import make_snapshot
from sloepond.runtime.exit_code import ExitCode
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.metrics import metrics_page
from sloepond.runtime.settings import ApiSettings
from sloepond.runtime.traffic import TrafficClass, TrafficRate, TrafficTotal

OWN_METRIC = "sloepond"
COMMANDS = ("check", "apply", "get", "watch", "status", "drain", "undrain", "version", "balancer")
VALUES_OF = ("state", "class", "direction", "le")
"""Labels whose values are public names too."""
PEER = PeerReport("b2", "10.1.0.2:7000", "active", 5, 6, "00000000", 20, 1.5, True)
STATUS = NodeStatus("b1", 99, "h1", "active", 5, ("b1", "b2"), True, 7, "ab", 40, 3, (PEER,))


def platform_settings(text):
    """Return the settings in a settings file of the platform, by names that do not depend on the code."""
    read = parse_settings(text)
    return {
        "name": read.name,
        "zone": read.hall,
        "ip": read.ip,
        "datagrams": read.edge,
        "readiness": read.readiness,
        "store": read.store,
        "metrics": read.metrics,
        "peer port": read.peer_port,
        "seeds": list(read.seeds),
        "share of a core": read.capacity,
        "region of each zone": read.regions,
        "cold start factor": read.cold_factor,
        "cold start slack per s": read.cold_slack_per_s,
        "killed after s": read.kill_after_s,
        "longest change s": read.change_limit_s,
    }


def platform_places():
    """Return the locations of the platform's settings and metrics."""
    return {"variable": FILE_VARIABLE, "default file": DEFAULT_FILE, "metrics port": METRICS_PORT}


def deploy_file():
    """Return all keys and values of the deploy file."""
    with open("deploy/system.toml", "rb") as file:
        return tomllib.load(file)


def forwarding_metrics():
    """Return the series of the metrics page on the platform."""
    node = ForwardingNode("h", random.Random(1))
    node.start(0.0)
    record = BackendRecord("i-1", 1, "a", "10.0.0.1", 80, "h", 2, BackendState.READY)
    node.handle(BackendsRead(1, (record,)), 0.0)
    [backend] = node.backends
    backend.latency.observe(0.1, 0.0)
    return series(metrics_page(node, 0.0).body.decode())


def api_metrics():
    """Return the series of the metrics of the operators' API."""
    return series(Metrics(api_state()).render().decode())


def series(text):
    """Return type, name and labels of each series of the balancer, one line each."""
    return sorted(
        {
            " ".join((family.type, sample.name, *label_texts(sample.labels)))
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if sample.name.startswith(OWN_METRIC) and not sample.name.endswith("_created")
        }
    )


def label_texts(labels):
    """Return the labels by name, with those values that are public names too."""
    return [f"{label}={labels[label]}" if label in VALUES_OF else label for label in sorted(labels)]


def api_state():
    """Return the state of a balancer that the operators' API reads."""
    in_force = CompiledConfiguration(make_snapshot(7, []))
    node = types.SimpleNamespace(
        counters=Counters(),
        configuration=types.SimpleNamespace(in_force=in_force),
        status=lambda: STATUS,
    )
    return types.SimpleNamespace(
        node=node,
        traffic_totals={traffic_class: TrafficTotal() for traffic_class in TrafficClass},
        traffic_rates=lambda: tuple(TrafficRate(item, 1.0, 2.0) for item in TrafficClass),
        request_stop=lambda: None,
    )


def api_paths():
    """Return methods and paths of the operators' API."""
    state = api_state()
    feed = ConfigurationFeed(lambda: state.node.configuration.in_force)
    application = create_app(state, ApiSettings(), feed, logbook.Logger("interfaces"))
    return sorted(f"{method} {route.path}" for route in application.routes for method in route.methods)


def api_errors():
    """Return the status of each error code."""
    return {code.value: status for code, status in HTTP_STATUS.items()}


def api_status():
    """Return the names in the response with a balancer's status."""
    answer = json.loads(msgspec.json.encode(build_status(api_state())))
    assert msgspec.json.decode(msgspec.json.encode(answer), type=BalancerStatus).name == "b1"
    return {
        "balancer": sorted(answer),
        "peer": sorted(answer["peers"][0]),
        "traffic": sorted(answer["traffic"][0]),
    }


def log_events():
    """Return the event names of the log on the platform."""
    return sorted(kind.value for kind in LogKind)


def log_fields():
    """Return the field names of a log line on the platform, in their order."""
    reading, writing = os.pipe()
    try:
        LogWriter(ForwardingCounters(), writing).write(WriteLog(LogKind.STARTED, "subject", "detail"))
        return list(json.loads(os.read(reading, 1_000)))
    finally:
        os.close(reading)
        os.close(writing)


def refusals():
    """Return the reasons in log lines for packets that are not forwarded."""
    return sorted(refusal.value for refusal in Refusal)


def transitions():
    """Return the event names in the log of sloepond's own balancer."""
    return sorted(kind.value for kind in TransitionKind)


def codes():
    """Return the exit codes of the balancer and of all other commands."""
    return {
        "balancer": {code.name.lower(): code.value for code in ExitCode},
        "commands": {
            "success": exit_codes.OK,
            "refused": exit_codes.REFUSED,
            "bad usage or input": exit_codes.BAD_INPUT,
            "not in force in time": exit_codes.NOT_IN_FORCE,
            "unreachable": exit_codes.UNREACHABLE,
            "interrupted": main.INTERRUPTED,
        },
    }


def command_options():
    """Return the options of each command that operators use."""
    return {command: options_of(command) for command in COMMANDS}


def options_of(command):
    """Return the options that the help of a command lists."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.suppress(SystemExit):
        main.run([command, "--help"])
    return sorted(set(re.findall(r"(?<![\w-])--?[a-z][\w-]*", output.getvalue().partition("exit codes")[0])))


def environment_variables():
    """Return the environment variables that commands read."""
    return sorted(set(re.findall(r"SLOEPOND_[A-Z]+", ENVIRONMENT_HELP)))


def resources():
    """Return the fields of each kind of resource, with their types and defaults."""
    kinds = {kind.value: fields_of(getattr(model, kind.value)) for kind in model.Kind}
    return {"apiVersion": model.API_VERSION, "kinds": kinds}


def fields_of(struct):
    """Return the fields of a struct by their encoded names."""
    return {field.encode_name: field_form(field) for field in msgspec.structs.fields(struct)}


def field_form(field):
    """Return the form of one field: nested fields, the values of an enumeration, or the type."""
    info = msgspec.inspect.type_info(field.type)
    if isinstance(info, msgspec.inspect.StructType):
        return fields_of(info.cls)
    if isinstance(info, msgspec.inspect.VarTupleType):
        return [fields_of(info.item_type.cls)]
    if isinstance(info, msgspec.inspect.EnumType):
        return {"one of": [item.value for item in info.cls], "default": default_of(field)}
    return {"type": type(info).__name__, "default": default_of(field)}


def default_of(field):
    """Return the default of a field, `required` if it has none."""
    if field.default is not msgspec.NODEFAULT:
        return field.default.value if isinstance(field.default, enum.Enum) else field.default
    if field.default_factory is not msgspec.NODEFAULT:
        return field.default_factory()
    return "required"


COLLECTORS = {
    "places of the platform's settings": platform_places,
    "deploy file": deploy_file,
    "metrics on the platform": forwarding_metrics,
    "metrics of the operators' API": api_metrics,
    "log events": log_events,
    "log line fields": log_fields,
    "reasons of refused packets": refusals,
    "exit codes": codes,
    "paths of the operators' API": api_paths,
    "errors of the operators' API": api_errors,
    "status of a balancer": api_status,
    "command options": command_options,
    "environment variables": environment_variables,
    "resources": resources,
}

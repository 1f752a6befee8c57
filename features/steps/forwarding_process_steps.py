"""Steps on the balancer's process."""

from __future__ import annotations

import json
import signal
import socket
import struct

from behave import given, then, when
from forwarding_standins import ACK, HEADER, METRICS_PORT, ROUTE, SYN, Stage, packet, wait_for

NO_ROUTE = ("198.18.0.9", 80)
RST = 128


@given("platform stand-ins of a store and of two targets")
def standins(context):
    context.stage = Stage()
    context.add_cleanup(context.stage.close)


@when("a platform balancer is started")
def started(context):
    context.balancer = context.stage.start_balancer()


@given("a platform balancer that is ready")
def started_and_ready(context):
    started(context)
    wait_for(context.balancer.is_ready, "readiness")


@then("the platform balancer becomes ready and forwards a flow to one target")
def forwards(context):
    stage, balancer = context.stage, context.balancer
    wait_for(balancer.is_ready, "readiness")
    stage.send(balancer, packet(1000, SYN))
    target, opening = wait_for(lambda: stage.target_of(HEADER.pack(7, 0, *from_source(1000))[:16]), "SYN")
    context.token = struct.unpack_from(">I", opening, 36)[0]
    assert context.token == struct.unpack_from(">Q", opening, 0)[0]
    stage.send(balancer, packet(1000, ACK, ack=5, echo=context.token, data=b"first request"))
    same_target, data = wait_for(lambda: stage.target_of(b"first request"), "data")
    assert same_target is target
    request = b"GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: 5f89d1d1a7a5f143\r\n\r\n"
    stage.send(balancer, packet(1000, ACK, ack=5, echo=context.token, data=request))
    wait_for(lambda: '"subject":"5f89d1d1a7a5f143"' in balancer.log.read_text(), "the request's line")
    assert data[:8] == opening[:8]


def from_source(port):
    """Return the fields of a header from the source address on."""
    header = packet(port, SYN)
    return HEADER.unpack(header)[2:]


@then("the platform balancer refuses a flow without a route")
def refuses(context):
    context.stage.send(context.balancer, packet(1001, SYN, route=NO_ROUTE))
    reset = context.stage.client.recv(4096)
    fields = HEADER.unpack(reset)
    assert fields[8] == RST and fields[3] == NO_ROUTE[1] and fields[4] == 1001


@then("the platform balancer continues after SIGHUP and serves its metrics")
def continues(context):
    settings = context.balancer.settings
    settings.write_text("nothing of use")
    context.balancer.signal(signal.SIGHUP)
    wait_for(lambda: '"unreadable"' in context.balancer.log.read_text(), "the log of unreadable settings")
    settings.write_text(context.balancer.text.replace("zone=north", "zone=south"))
    context.balancer.signal(signal.SIGHUP)
    wait_for(lambda: "after_restart=zone" in context.balancer.log.read_text(), "the log of changed settings")
    assert context.balancer.is_ready()
    status, text = wait_for(lambda: context.balancer.get(context.balancer.metrics, "/metrics"), "metrics")
    assert status == 200
    assert "sloepond_flows_placed_total 1" in text
    assert "sloepond_route_version 4" in text


@given("a platform listener at the metrics address of the next balancer")
def metrics_address_taken(context):
    address = (context.stage.hosts[len(context.stage.balancers)], METRICS_PORT)
    context.add_cleanup(socket.create_server(address).close)


@then("the platform balancer logs that it serves no metrics, with the reason")
def logs_metrics_not_served(context):
    balancer = context.balancer
    lines = [json.loads(line) for line in balancer.log.read_text().splitlines()]
    [line] = [line for line in lines if line["kind"] == "metrics_not_served"]
    assert line["subject"] == f"{balancer.host}:{METRICS_PORT}"
    assert "Address already in use" in line["detail"], line


@given("a platform store that sends the routes in parts, with delays")
def store_pauses(context):
    context.stage.store.pause_s = 0.3


@when("the platform balancer is signalled to stop")
def signalled_to_stop(context):
    context.balancer.signal(signal.SIGTERM)


@then("the platform balancer is not ready, still forwards the flow and ends with code 0")
def stops(context):
    stage, balancer = context.stage, context.balancer
    wait_for(lambda: (balancer.get(balancer.readiness, "/") or (0,))[0] == 503, "not ready")
    stage.send(balancer, packet(1000, ACK, ack=5, echo=context.token, data=b"last request"))
    wait_for(lambda: stage.target_of(b"last request"), "data while stopping")
    assert balancer.process.wait(timeout=20) == 0
    assert '"stopped"' in balancer.log.read_text()


@when("a platform balancer is started and a flow is opened before it is ready")
def opened_before_ready(context):
    stage = context.stage
    stage.store.answering.clear()
    started(context)
    wait_for(lambda: "started" in context.balancer.log.read_text(), "the start")
    stage.send(context.balancer, packet(1002, SYN))
    stage.store.answering.set()


@then("the platform target receives the flow")
def flow_received(context):
    mark = HEADER.pack(7, 0, *from_source(1002))[:16]
    wait_for(lambda: context.stage.target_of(mark), "SYN")


@when("the platform store stops responding and another balancer starts")
def store_silent(context):
    context.stage.store.silent.set()
    context.other = context.stage.start_balancer()


@then("the other platform balancer becomes ready")
def other_ready(context):
    wait_for(context.other.is_ready, "readiness of a fresh process")
    assert "knowledge_taken" in context.other.log.read_text()
    assert ROUTE[1] == 443


@given('the settings file of the next platform balancer contains "{line}"')
def settings_line(context, line):
    context.stage.settings_lines = f"{line}\n"


@when('the settings file of the platform balancer also contains "{line}", and it is signalled')
def settings_line_later(context, line):
    balancer = context.balancer
    balancer.settings.write_text(f"{balancer.text}{line}\n")
    balancer.signal(signal.SIGHUP)


@then('the platform balancer logs that it ignores "{name}"')
def logs_ignored(context, name):
    wait_for(lambda: ignored_fields(context.balancer).count(name) == 1, f"a line about {name}")
    assert ignored_fields(context.balancer).count("zone") == 0


def ignored_fields(balancer):
    """Return the names of the fields that a balancer has logged as ignored."""
    lines = [json.loads(line) for line in balancer.log.read_text().splitlines()]
    return [line["subject"] for line in lines if line["kind"] == "setting_ignored"]

import msgspec
from behave import given, then, when

from sloepond.core.packets import FlowKey
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.content import make_snapshot
from sloepond.resources.model import (
    API_VERSION,
    Backend,
    BackendSpec,
    Hall,
    HallSpec,
    Metadata,
    PlaceSelector,
    Region,
    Service,
    ServiceSpec,
    Zone,
    ZoneSpec,
)
from sloepond.standins.backend_record import Execution
from sloepond.standins.balance import measure_balance
from sloepond.standins.caller_plan import RequestPlan
from sloepond.standins.caller_record import BreakReason, FlowRecord, FlowState, RequestOutcome, RequestRecord
from sloepond.standins.checking import NEW_WORK_GRACE_S, Departure, Evidence, check_promises, check_served

NOTE = RequestPlan(b"note", repeatable=False)
BOOKING = "127.0.1.1:7000"
ROSTER = "127.0.1.2:7000"
FLOW = FlowKey(BOOKING, "127.0.0.1:4000", 7)


def compiled_configuration():
    def back_end(name, service, hall, address):
        return Backend(API_VERSION, Metadata(name), BackendSpec(service, address, hall))

    def service(name, address):
        permitted, denied = (PlaceSelector(zone="zone"),), (PlaceSelector(hall="denied"),)
        return Service(API_VERSION, Metadata(name), ServiceSpec(address, permitted=permitted, denied=denied))

    resources = [
        Region(API_VERSION, Metadata("region")),
        Zone(API_VERSION, Metadata("zone"), ZoneSpec("region")),
        Hall(API_VERSION, Metadata("open"), HallSpec("zone")),
        Hall(API_VERSION, Metadata("denied"), HallSpec("zone")),
        service("booking", BOOKING),
        service("roster", ROSTER),
        back_end("booking-1", "booking", "open", "127.0.2.1:7000"),
        back_end("booking-2", "booking", "open", "127.0.2.2:7000"),
        back_end("booking-3", "booking", "denied", "127.0.2.3:7000"),
        back_end("roster-1", "roster", "open", "127.0.2.4:7000"),
    ]
    return CompiledConfiguration(make_snapshot(1, resources))


@given("standins evidence of one request that was answered")
def answered_request(context):
    answered = RequestRecord(1, NOTE, started_at=1.0, outcome=RequestOutcome.ANSWERED, execution=1)
    flow = FlowRecord(
        FLOW, "booking", FlowState.CLOSED, backend="booking-1", opened_at=20.0, requests=[answered]
    )
    ran = Execution("booking-1", 1, FLOW, 1, 0, NOTE.payload, started_at=2.0)
    context.evidence = Evidence(compiled_configuration(), (flow,), (ran,))


def break_flow(evidence):
    evidence.flows[0].state = FlowState.BROKEN
    evidence.flows[0].break_reason = BreakReason.LOST
    return evidence


def reply_from_foreign_service(evidence):
    evidence.flows[0].misrouted = 1
    return evidence


def with_executions(evidence, *executions):
    return msgspec.structs.replace(evidence, executions=executions)


def run_at(evidence, backend):
    evidence.flows[0].backend = backend
    moved = msgspec.structs.replace(evidence.executions[0], backend=backend)
    return with_executions(evidence, moved)


def run_at_foreign_service(evidence):
    stray = msgspec.structs.replace(evidence.executions[0], backend="roster-1", request_id=2)
    return with_executions(evidence, *evidence.executions, stray)


def remove_executions(evidence):
    return with_executions(evidence)


def set_outcome(evidence, new_outcome):
    evidence.flows[0].requests[0].outcome = new_outcome
    return evidence


def refuse_later(evidence):
    evidence.flows[0].requests[0].told_refused = True
    return evidence


def run_twice(evidence):
    again = msgspec.structs.replace(evidence.executions[0], number=2, attempt=1)
    return with_executions(evidence, *evidence.executions, again)


def drain_before(evidence):
    departure = Departure("booking-1", evidence.flows[0].opened_at - NEW_WORK_GRACE_S - 0.1)
    return msgspec.structs.replace(evidence, departures=(departure,))


FAULTS = {
    "the flow broke": break_flow,
    "a back end of another service replied": reply_from_foreign_service,
    "a back end of another service ran it": run_at_foreign_service,
    "a back end in a denied place ran it": lambda evidence: run_at(evidence, "booking-3"),
    "the answer was incomplete": lambda evidence: set_outcome(evidence, RequestOutcome.WRONG),
    "no back end ran it": remove_executions,
    "it was refused": lambda evidence: set_outcome(evidence, RequestOutcome.REFUSED),
    "a refusal followed the answer": refuse_later,
    "it ran twice": run_twice,
    "the back end was drained before": drain_before,
}


@when("the standins evidence is changed so that {fault}")
def change_evidence(context, fault):
    context.evidence = FAULTS[fault](context.evidence)


@then("the standins checks find nothing")
def nothing_found(context):
    assert check_promises(context.evidence) == []


@then("the standins checks find only {promise}")
def only_promise_found(context, promise):
    found = [finding.promise.value for finding in check_promises(context.evidence)]
    assert found == [promise], found


@then("the standins balance of its service is {imbalance:d} over {backends:d} back ends")
def balance_is(context, imbalance, backends):
    measured = {
        item.service: item
        for item in measure_balance(context.evidence.configuration, context.evidence.executions)
    }
    assert measured["booking"].imbalance == imbalance
    assert measured["booking"].backends == backends
    assert measured["roster"].executed == 0


@then("the standins checks find it served, and not served without executions")
def step_served(context):
    assert check_served(context.evidence) == []
    assert [found.promise for found in check_served(with_executions(context.evidence))] == ["served"]

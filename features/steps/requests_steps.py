from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from sloepond.core.packets import CallerReply, CallerReplyKind, FlowKey
from sloepond.core.requests import ledger as ledgers
from sloepond.core.requests.answer_cache import AnswerCache
from sloepond.core.requests.ledger import Ledger
from sloepond.core.requests.retry_budget import RetryBudget

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=200)
REQUEST_IDS = st.integers(min_value=1, max_value=300)


def ledger_of(request_ids) -> Ledger:
    ledger = Ledger()
    for request_id in request_ids:
        ledger = ledgers.mark_used(ledger, request_id)
    return ledger


@then("requests ledger property: marked ids stay used whatever is marked or merged later")
def marked_ids_stay_used(_):
    @PROPERTY
    @given(st.lists(REQUEST_IDS), st.lists(REQUEST_IDS))
    def check(first, second):
        merged = ledgers.merge(ledger_of(first), ledger_of(second))
        assert merged == ledgers.merge(ledger_of(second), ledger_of(first))
        for request_id in first + second:
            assert ledgers.is_used(merged, request_id)

    check()


@then("requests ledger property: ids never marked are unused while inside the window")
def unmarked_ids_stay_unused(_):
    @PROPERTY
    @given(st.lists(REQUEST_IDS, min_size=1), REQUEST_IDS)
    def check(marked, other):
        ledger = ledger_of(marked)
        if other not in marked and not ledgers.is_too_old(ledger, other):
            assert not ledgers.is_used(ledger, other)

    check()


@then("requests retry budget property: retries stay below the burst plus the earned share")
def retries_are_bounded(_):
    @PROPERTY
    @given(st.lists(st.booleans(), max_size=400))
    def check(steps):
        budget = RetryBudget(ratio=0.25, burst=5.0)
        first_attempts = steps.count(True)
        taken = 0
        for is_first_attempt in steps:
            if is_first_attempt:
                budget.first_attempt_made()
            elif budget.take():
                taken += 1
        assert taken <= 5 + 0.25 * first_attempts

    check()


@then("requests answer cache property: kept answers are whole and bounded")
def answers_are_whole(_):
    @PROPERTY
    @given(st.lists(st.tuples(st.integers(1, 5), st.integers(1, 4), st.integers(0, 200)), max_size=40))
    def check(added):
        cache = AnswerCache(maximum_bytes=1500, lifetime_s=10.0)
        expected = {}
        for time, (request_id, parts, size) in enumerate(added):
            flow = FlowKey("s", "c", 1)
            replies = [
                CallerReply(CallerReplyKind.ANSWER, flow, request_id, 0, part, parts, payload=b"x" * size)
                for part in range(parts)
            ]
            cache.add((flow, request_id), replies, float(time))
            expected[request_id] = (replies, time)
            kept = [cache.get((flow, known), float(time)) for known in expected]
            assert sum(len(one) * 100 for one in kept if one) <= 1500
            for known, (known_replies, added_at) in expected.items():
                answer = cache.get((flow, known), float(time))
                assert answer is None or (answer == known_replies and time - added_at <= 10)

    check()

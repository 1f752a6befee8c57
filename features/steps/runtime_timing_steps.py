"""Steps on deadlines."""

from __future__ import annotations

import trio
import trio.testing
from behave import then, when

from sloepond.core.deadlines import NEVER
from sloepond.runtime.deadline_task import DeadlineTask


def run_deadline_task(deadlines, is_idle, action):
    """Run a deadline task on simulated time; return the times at which it fired."""
    fired_at = []

    async def main():
        started = trio.current_time()

        def clock():
            return trio.current_time() - started

        def fire():
            fired_at.append(round(clock(), 6))
            deadlines.pop(0)

        task = DeadlineTask(clock, lambda: deadlines[0], fire, lambda: is_idle)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(task.run)
            await trio.sleep(3)
            action(task)
            await trio.sleep(100)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return fired_at


@when("a runtime deadline moves to an earlier time during the wait for it")
def step_deadline(context):
    deadlines = [50.0, NEVER]

    def move_forward(task):
        deadlines[0] = 7.0
        task.adjust()

    context.fired_at = run_deadline_task(deadlines, False, move_forward)


@then("the runtime deadline fired at the earlier time")
def step_deadline_fired(context):
    assert context.fired_at == [7.0], context.fired_at


@when("an idle and a busy balancer wait for a runtime deadline")
def step_idle_deadline(context):
    def do_nothing(task):
        pass

    context.fired_at = [run_deadline_task([5.011, NEVER], idle, do_nothing) for idle in (True, False)]


@then("only the idle runtime deadline was rounded up")
def step_idle_rounded(context):
    assert context.fired_at == [[5.05], [5.011]], context.fired_at

"""Steps on the daemon's signals and reloads."""

from __future__ import annotations

import os
import pathlib
import signal
import tempfile

import trio
import trio.testing
from behave import then, when
from runtime_daemon import (
    NEW_SECRET,
    RunningDaemon,
)
from runtime_peer import OFFER, Peer

from sloepond.core import events
from sloepond.runtime.logs import create_log_handler
from sloepond.runtime.reloading import SettingsReloader
from sloepond.runtime.settings import LogSettings
from sloepond.runtime.signals import SignalTask


def run_with_signals(context, sent, completes_stop, reload=None, after=None):
    async def action(running):
        running.node.completes_stop = completes_stop
        await trio.testing.wait_all_tasks_blocked()
        for number in sent:
            os.kill(os.getpid(), number)
            await trio.testing.wait_all_tasks_blocked(0.02)
        if after is not None:
            await after(running)
        else:
            await running.until(lambda: running.exit_code is not None)

    context.running = context.running if "running" in context else RunningDaemon()
    context.running.exit_code = None
    context.running.run(action, SignalTask(reload).run)


@when("a runtime daemon receives SIGTERM and its node completes the stop")
def step_sigterm(context):
    run_with_signals(context, [signal.SIGTERM], completes_stop=True)


@when("a runtime daemon receives SIGTERM twice before its node completes the stop")
def step_sigterm_twice(context):
    run_with_signals(context, [signal.SIGTERM, signal.SIGTERM], completes_stop=False)


@then("the runtime exit code is {code:d}")
def step_exit_code(context, code):
    assert context.running.exit_code == code
    assert len(context.running.node.recorded(events.StopRequested)) == 1


@when("another key is added to the runtime settings file and the daemon receives SIGHUP")
def step_sighup(context):
    async def receive_offer(running):
        with Peer(running, NEW_SECRET, key_id=2) as peer:
            peer.send(OFFER)
            await running.until(lambda: running.node.events)

    with tempfile.TemporaryDirectory() as directory:
        file = pathlib.Path(directory, "balancer.toml")
        file.write_text(context.running.text + f"[[keys]]\nid = 2\nsecret = '{NEW_SECRET}'\n")
        handler = create_log_handler(LogSettings())
        reloader = SettingsReloader(file, (), handler)
        run_with_signals(context, [signal.SIGHUP], False, reloader.reload, receive_offer)


@then("a message of a runtime peer with the new key is accepted")
def step_new_key(context):
    (event,) = context.running.node.events
    assert event.message == OFFER

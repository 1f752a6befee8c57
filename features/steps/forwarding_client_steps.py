"""Steps on calls to the store over slow links, by a simulated clock."""

from __future__ import annotations

import trio
import trio.testing
from behave import then, when

from sloepond.runtime.forwarding.http_client import LONGEST_CALL_S, HttpClient, HttpConnection
from sloepond.runtime.forwarding.http_exchange import HttpExchange, HttpFailure, HttpResponse

PART = b"0123456789"
INTERVAL_S = 0.1
SILENCE_S = 0.7


class SlowStream:
    """A connection whose answer comes in parts; it falls silent after some of them."""

    def __init__(self, parts, sent):
        self.parts = parts
        self.sent = sent
        self.given = -1

    async def send(self, data):
        """Take the whole request."""
        return len(data)

    async def recv(self, size):
        """Return the next part."""
        await trio.sleep(INTERVAL_S)
        if self.given < 0:
            self.given = 0
            return f"HTTP/1.1 200 OK\r\nContent-Length: {self.parts * len(PART)}\r\n\r\n".encode()
        if self.given >= self.sent:
            await trio.sleep_forever()
        self.given += 1
        return PART

    def close(self):
        """Close nothing."""


class SlowClient(HttpClient):
    """A client whose connections are slow."""

    def __init__(self, parts, sent):
        super().__init__("10.0.0.1", 80)
        self.stream = SlowStream(parts, sent)

    async def _connect(self):
        return HttpConnection(self.stream, HttpExchange("10.0.0.1:80"))


def read(context, parts, sent):
    """Read once; keep the answer and how long it took."""

    async def call():
        begun = trio.current_time()
        context.answer = await SlowClient(parts, sent).get("/", SILENCE_S)
        context.took_s = trio.current_time() - begun

    trio.run(call, clock=trio.testing.MockClock(autojump_threshold=0))


@when("forwarding reads an answer of forty parts, one each tenth of a second")
def reads_forty(context):
    read(context, 40, 40)


@when("forwarding reads an answer that stops after five parts, one each tenth of a second")
def reads_stopping(context):
    read(context, 40, 5)


@when("forwarding reads an answer of ten thousand parts, one each tenth of a second")
def reads_endless(context):
    read(context, 10_000, 10_000)


@then("forwarding has the whole answer after four seconds")
def has_whole(context):
    assert context.answer == HttpResponse(200, PART * 40), context.answer
    assert 4.0 < context.took_s < 4.3


@then("forwarding gives the answer up after the silence it bears")
def gives_up(context):
    assert context.answer is HttpFailure.TIMED_OUT
    assert abs(context.took_s - 6 * INTERVAL_S - SILENCE_S) < 0.01


@then("forwarding gives the answer up after the longest time of a call")
def gives_up_long(context):
    assert context.answer is HttpFailure.TIMED_OUT
    assert abs(context.took_s - LONGEST_CALL_S) < INTERVAL_S

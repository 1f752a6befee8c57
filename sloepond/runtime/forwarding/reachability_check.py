"""Tries to reach a back end: connections are opened and closed, nothing is sent.

Another back end is tried at the same time.  Only where that one is reached each time
does silence of the first one mean that it is gone.
"""

from __future__ import annotations

import errno
import socket

import trio

from sloepond.core.forwarding.backend_records import Endpoint
from sloepond.core.forwarding.events import CheckResult

TRIES_S = (0.0, 0.1, 0.2)
"""When connections to the back end are tried: opening packets may be lost."""
CONTROL_TRIES_S = (0.0, 0.2)
"""When connections to the other one are."""
CHECK_S = 0.4
"""How long a check takes at most."""


async def check_reachable(endpoint: Endpoint, control: Endpoint | None) -> CheckResult:
    """Return what connections to a back end show.

    :param control: another back end; None where there is none.
    """
    check = _Check()
    with trio.move_on_after(CHECK_S):
        async with trio.open_nursery() as nursery:
            for delay_s in TRIES_S:
                nursery.start_soon(check.attempt, endpoint, delay_s, nursery.cancel_scope)
            if control is not None:
                for delay_s in CONTROL_TRIES_S:
                    nursery.start_soon(check.control_attempt, control, delay_s)
            await trio.sleep_forever()
    if check.result is not None:
        return check.result
    is_control_reached = check.control_reached == len(CONTROL_TRIES_S)
    return CheckResult.UNREACHABLE if is_control_reached else CheckResult.UNKNOWN


class _Check:
    """What the attempts of one check have shown.

    :ivar result: set once an attempt has decided.
    :ivar control_reached: connections to the other back end that were accepted.
    """

    def __init__(self) -> None:
        self.result: CheckResult | None = None
        self.control_reached = 0

    async def attempt(self, endpoint: Endpoint, delay_s: float, decided: trio.CancelScope) -> None:
        """Try once; an accepted or refused connection decides."""
        result = await _connect(endpoint, delay_s)
        self.result = CheckResult.REACHABLE if result else self.result or CheckResult.UNREACHABLE
        decided.cancel()

    async def control_attempt(self, endpoint: Endpoint, delay_s: float) -> None:
        """Try to reach the other back end once."""
        is_reached = await _connect(endpoint, delay_s)
        self.control_reached += is_reached


async def _connect(endpoint: Endpoint, delay_s: float) -> bool:
    """Return whether a connection is accepted, False where it is refused; waits on where neither is."""
    await trio.sleep(delay_s)
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as attempt:
        attempt.setblocking(False)
        attempt.connect_ex(endpoint)
        await trio.lowlevel.wait_writable(attempt)
        return _is_connected(attempt)


def _is_connected(attempt: socket.socket) -> bool:
    try:
        attempt.getpeername()
    except OSError as error:
        if error.errno in (errno.ENOTCONN, errno.EINVAL):
            return False
        raise
    return True

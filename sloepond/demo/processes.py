"""Starts the processes of a demo and ends them, also after errors and cancellation.

Owns: the processes and their log files; no process outlives its `ProcessGroup`.
"""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
import trio

from sloepond.standins.started import StandinStarted

TERMINATE_TIMEOUT_S = 1.0
"""Time between SIGTERM and SIGKILL when a process is ended."""

LOG_TAIL_LINES = 15
"""Number of last log lines that are shown with an error."""

_READ_BYTES = 65_536
"""Bytes read from a pipe at once: the default capacity of a Linux pipe."""


class ProcessFailedError(Exception):
    """A process ended before it was ready, or with an unexpected exit code."""


class DemoProcess:
    """One process; its standard error is written to a file.

    :ivar name: name in messages and of the log file.
    """

    def __init__(self, name: str, process: trio.Process, log_file: Path) -> None:
        self.name = name
        self._process = process
        self._log_file = log_file
        self._unread = bytearray()

    async def read_line(self) -> bytes:
        """Return the next line of standard output.

        :raises ProcessFailedError: if the output ends before a complete line.
        """
        output = self._process.stdout
        while output is not None and b"\n" not in self._unread:
            received = await output.receive_some(_READ_BYTES)
            if not received:
                raise ProcessFailedError(
                    f"{self.name} closed its output before a complete line:\n{self.log_tail()}"
                )
            self._unread += received
        line, _, self._unread = self._unread.partition(b"\n")
        return bytes(line)

    async def started(self) -> StandinStarted:
        """Wait until a stand-in reports that it is ready."""
        return msgspec.json.decode(await self.read_line(), type=StandinStarted)

    def check_running(self) -> None:
        """Check that the process has not ended.

        :raises ProcessFailedError: if it has, with the last lines of its standard error.
        """
        exit_code = self._process.poll()
        if exit_code is not None:
            raise ProcessFailedError(f"{self.name} exited with {exit_code}:\n{self.log_tail()}")

    def terminate(self) -> None:
        """Send SIGTERM."""
        self._process.terminate()

    def kill(self) -> None:
        """Send SIGKILL."""
        self._process.kill()

    def pause(self) -> None:
        """Send SIGSTOP: the process does not run, but its sockets still receive datagrams."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self._process.send_signal(signal.SIGCONT)

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    async def wait(self) -> int:
        """Wait until the process ends and return the exit code."""
        return await self._process.wait()

    async def end(self) -> None:
        """Terminate the process; kill it if it does not end within `TERMINATE_TIMEOUT_S`."""
        if self._process.poll() is None:
            self._process.terminate()
            with trio.move_on_after(TERMINATE_TIMEOUT_S):
                await self._process.wait()
        if self._process.poll() is None:
            self._process.kill()
            await self._process.wait()

    def log_lines(self) -> list[str]:
        """Return the lines written to standard error so far."""
        return self._log_file.read_text(encoding="utf-8", errors="replace").splitlines()

    def log_tail(self) -> str:
        """Return the last lines of standard error."""
        return "\n".join(self.log_lines()[-LOG_TAIL_LINES:])


class ProcessGroup:
    """Starts Python modules as processes and ends all of them."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self.processes: list[DemoProcess] = []

    async def start(self, name: str, module: str, arguments: Sequence[str]) -> DemoProcess:
        """Start `python -m module arguments`."""
        log_file = self._directory / f"{name}.log"
        with log_file.open("wb") as log:
            process = await trio.lowlevel.open_process(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        started = DemoProcess(name, process, log_file)
        self.processes.append(started)
        return started

    async def end_all(self) -> None:
        """End all processes, even if the calling task is being cancelled."""
        with trio.CancelScope(shield=True):
            async with trio.open_nursery() as nursery:
                for process in self.processes:
                    nursery.start_soon(process.end)

"""Measures the time from a balancer's first log line to readiness, from the log of a simulated run.

    fleetbench run SITE SCENARIO --log all > run.txt
    python benchmarks/starts.py run.txt ...

Prints the number of starts and the minimum, median and maximum time for each log.  Starts that
ended before readiness are counted separately, as are truncated lines.
"""

from __future__ import annotations

import pathlib
import re
import sys

import msgspec

LINE = re.compile(r'^\s*(?P<at>-?[\d.]+) (?P<machine>\S+) (?P<line>\{"at":.*)$')
"""A log line of the simulator: simulated time, name of the machine, line of the process."""


class ProcessLine(msgspec.Struct):
    """The fields of a balancer's log line that are used here.

    :ivar at: seconds since the process wrote its first line.
    """

    at: float
    kind: str
    subject: str = ""


class Starts(msgspec.Struct):
    """Starts found in one log.

    :ivar ready_s: seconds from the first line to readiness, for each start that became ready.
    :ivar truncated: lines of processes that are not valid JSON because they were truncated.
    """

    started: int
    ready_s: list[float]
    truncated: int = 0


def main() -> None:
    """Print a line for each log named on the command line."""
    print("| log | starts | ended before ready | minimum s | median s | maximum s | truncated lines |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name in sys.argv[1:]:
        starts = read_starts(pathlib.Path(name).read_text(errors="replace"))
        ready = sorted(starts.ready_s)
        figures = f"{ready[0]:.3f} | {ready[len(ready) // 2]:.3f} | {ready[-1]:.3f}" if ready else "| |"
        counts = f"{starts.started} | {starts.started - len(ready)}"
        print(f"| {pathlib.Path(name).stem} | {counts} | {figures} | {starts.truncated} |")


def read_starts(text: str) -> Starts:
    """Return the starts in a log."""
    starts = Starts(0, [])
    for text_line in text.splitlines():
        found = LINE.match(text_line)
        if found is None:
            continue
        try:
            line = msgspec.json.decode(found["line"], type=ProcessLine)
        except msgspec.MsgspecError:
            starts.truncated += 1  # The simulator truncates long lines.
            continue
        if line.kind == "started":
            starts.started += 1
        elif line.kind == "ready":
            starts.ready_s.append(line.at)
    return starts


if __name__ == "__main__":
    main()

"""How long balancers took from their first line to readiness, from the log of a played day.

    fleetbench run SITE DAY --log all > day.txt
    python benchmarks/starts.py day.txt ...

Prints, for each log, how many starts became ready and the least, middle and longest time.
A start that ends before it is ready is counted apart, as are lines that were cut.
"""

from __future__ import annotations

import pathlib
import re
import sys

import msgspec

LINE = re.compile(r'^\s*(?P<at>-?[\d.]+) (?P<machine>\S+) (?P<line>\{"at":.*)$')
"""A line of the bench: simulated time, name of the machine, line of the process."""


class ProcessLine(msgspec.Struct):
    """What is needed of a balancer's log line.

    :ivar at: seconds since the process wrote its first line.
    """

    at: float
    kind: str
    subject: str = ""


class Starts(msgspec.Struct):
    """Starts of one log.

    :ivar ready_s: seconds from the first line to readiness, one for each that became ready.
    :ivar unreadable: lines of processes that are no whole JSON, long ones that were cut.
    """

    started: int
    ready_s: list[float]
    unreadable: int = 0


def main() -> None:
    """Print a line for each log named on the command line."""
    print("| log | starts | not ready before their end | least s | middle s | longest s | lines cut |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name in sys.argv[1:]:
        starts = read_starts(pathlib.Path(name).read_text(errors="replace"))
        ready = sorted(starts.ready_s)
        figures = f"{ready[0]:.3f} | {ready[len(ready) // 2]:.3f} | {ready[-1]:.3f}" if ready else "| |"
        counts = f"{starts.started} | {starts.started - len(ready)}"
        print(f"| {pathlib.Path(name).stem} | {counts} | {figures} | {starts.unreadable} |")


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
            starts.unreadable += 1  # The bench cuts long lines.
            continue
        if line.kind == "started":
            starts.started += 1
        elif line.kind == "ready":
            starts.ready_s.append(line.at)
    return starts


if __name__ == "__main__":
    main()

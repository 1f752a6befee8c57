"""The command `sloepond`: builds the tree of commands and runs one.

The daemon, the stand-ins and the lab are imported only where their commands are
named or listed, so that the operators' commands start quickly.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable, Sequence
from typing import Any

import defopt
import msgspec

from sloepond import __version__
from sloepond.cli.endpoints import ENVIRONMENT_HELP, ApiUrls, merge_api_options, parse_api_urls
from sloepond.cli.exit_codes import EXIT_CODES_HELP, OK
from sloepond.cli.operator import apply, check, drain, get, status, version, watch

CommandFunction = Callable[..., Any]
CommandTree = dict[str, Any]
"""Functions by command name; a group of commands is a tree of its own."""


class CommandGroup(msgspec.Struct, frozen=True):
    """Commands of one module.

    :ivar module: module that holds the functions.
    :ivar functions: names of functions by command name.
    """

    module: str
    functions: dict[str, str]

    def load(self) -> CommandTree:
        """Import the module and return its commands."""
        module = importlib.import_module(self.module)
        found = {name: getattr(module, function, None) for name, function in self.functions.items()}
        return {name: function for name, function in found.items() if function is not None}


OPERATOR_COMMANDS: CommandTree = {
    function.__name__: function for function in (check, apply, get, watch, status, drain, version)
}
DAEMON_COMMANDS = CommandGroup("sloepond.cli.balancer", {"balancer": "balancer"})
"""Commands that stand beside the operators' commands, in no group."""

GROUPS = {
    "standin": CommandGroup(
        "sloepond.cli.standin", {name: name for name in ("platform", "fabric", "backend", "client")}
    ),
    "lab": CommandGroup(
        "sloepond.cli.lab",
        {
            "run": "run",
            "compare": "compare",
            "list": "list_scenarios",
            "plot": "plot",
            "bench": "bench",
            "capacity": "capacity",
        },
    ),
}

DESCRIPTION = "A layer-4 load balancer for operators of regulated data."
EPILOG = f"{EXIT_CODES_HELP}\n{ENVIRONMENT_HELP}"
INTERRUPTED = 130
"""Exit code after an interrupt from the keyboard, as shells have it."""


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command named in `arguments` and exit with its code.

    :param arguments: without the program's name; None takes those of the process.
    """
    given = sys.argv[1:] if arguments is None else arguments
    sys.exit(run(given))


def run(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code.

    :raises SystemExit: for bad usage and `--help`, by the parser.
    """
    try:
        result = defopt.run(
            command_tree(arguments[0] if arguments else ""),
            parsers={ApiUrls: parse_api_urls},
            short={"output": "o"},
            no_negated_flags=True,
            version=__version__,
            argparse_kwargs={"prog": "sloepond", "description": DESCRIPTION, "epilog": EPILOG},
            argv=merge_api_options(arguments),
        )
    except KeyboardInterrupt:
        return INTERRUPTED
    return result if isinstance(result, int) else OK


def command_tree(first: str) -> CommandTree:
    """Return the commands among which `first` is; all where it names none."""
    if first in OPERATOR_COMMANDS:
        return OPERATOR_COMMANDS
    if first in GROUPS:
        return {first: GROUPS[first].load()}
    if first in DAEMON_COMMANDS.functions:
        return DAEMON_COMMANDS.load()
    groups = {name: group.load() for name, group in GROUPS.items()}
    return OPERATOR_COMMANDS | DAEMON_COMMANDS.load() | groups

"""The command `sloepond`: builds the command tree and runs one command.

The daemon, the stand-ins and the lab are imported only when their commands are
run or listed, so that the operators' commands start quickly.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable, Sequence
from typing import Any

import defopt
import msgspec

from sloepond import __version__
from sloepond.cli.draining import drain, undrain
from sloepond.cli.endpoints import ENVIRONMENT_HELP, ApiUrls, merge_api_options, parse_api_urls
from sloepond.cli.exit_codes import EXIT_CODES_HELP, OK
from sloepond.cli.operator import apply, check, get, status, version, watch

CommandFunction = Callable[..., Any]
CommandTree = dict[str, Any]
"""Functions by command name; a group of commands is a nested tree."""


class CommandReference(msgspec.Struct, frozen=True):
    """A command whose module is imported on demand.

    :ivar module: name of a module in `sloepond.cli`.
    :ivar function: name of the function that runs the command.
    """

    module: str
    function: str

    def load(self) -> CommandFunction:
        """Import the module and return the function."""
        module = importlib.import_module(f"sloepond.cli.{self.module}")
        function: CommandFunction = getattr(module, self.function)
        return function


OPERATOR_COMMANDS: CommandTree = {
    function.__name__: function for function in (check, apply, get, watch, status, drain, undrain, version)
}
DAEMON_COMMANDS = {"balancer": CommandReference("balancer", "balancer")}
"""Ungrouped commands that are imported on demand."""

GROUPS = {
    "standin": {
        "platform": CommandReference("standin", "platform"),
        "fabric": CommandReference("standin", "fabric"),
        "backend": CommandReference("standin", "backend"),
        "client": CommandReference("standin", "client"),
    },
    "lab": {
        "run": CommandReference("lab", "run"),
        "list": CommandReference("lab", "list_scenarios"),
        "plot": CommandReference("lab", "plot"),
    },
}

DESCRIPTION = "A layer-4 load balancer for operators of regulated data."
EPILOG = f"{EXIT_CODES_HELP}\n{ENVIRONMENT_HELP}"
INTERRUPTED = 130
"""Exit code after a keyboard interrupt, as in shells."""


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command given by `arguments` and exit with its code.

    :param arguments: without the program's name; None for those of the process.
    """
    given = sys.argv[1:] if arguments is None else arguments
    sys.exit(run(given))


def run(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code.

    :raises SystemExit: by the parser, for bad usage and `--help`.
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
    """Return the part of the command tree that contains `first`; the whole tree if it is no command."""
    if first in OPERATOR_COMMANDS:
        return OPERATOR_COMMANDS
    if first in GROUPS:
        return {first: _load(GROUPS[first])}
    if first in DAEMON_COMMANDS:
        return _load(DAEMON_COMMANDS)
    groups = {name: _load(group) for name, group in GROUPS.items()}
    return OPERATOR_COMMANDS | _load(DAEMON_COMMANDS) | groups


def _load(references: dict[str, CommandReference]) -> CommandTree:
    return {name: reference.load() for name, reference in references.items()}

"""Options that may be given more than once, for a parser that takes their values in one place."""

from __future__ import annotations

from collections.abc import Sequence

END_OF_OPTIONS = "--"


def merge_repeated(arguments: Sequence[str], option: str) -> list[str]:
    """Return the arguments with all values of `option` behind its last occurrence.

    `--policy a X --policy=b` becomes `X --policy a b`.  What stands after `--`
    is left as it is.
    """
    kept: list[str] = []
    values: list[str] = []
    rest = list(arguments)
    while rest and rest[0] != END_OF_OPTIONS:
        argument = rest.pop(0)
        if argument == option and rest:
            values.append(rest.pop(0))
        elif argument.startswith(f"{option}="):
            values.append(argument.partition("=")[2])
        else:
            kept.append(argument)
    return [*kept, option, *values, *rest] if len(values) > 1 else list(arguments)

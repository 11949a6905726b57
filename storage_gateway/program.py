"""Entry point of a command-line program: invalid input ends it with one line on standard error."""

from __future__ import annotations

import sys
from collections.abc import Callable

from storage_gateway.errors import GatewayError

EXIT_OK = 0
EXIT_BAD_INPUT = 2


def run_program(name: str, run: Callable[[], None], input_error: type[GatewayError]) -> int:
    """Run a program to its end and return its exit status.

    Args:
        name: the program's name, which precedes the error message.
        run: the program; exceptions other than ``input_error`` are not caught.
        input_error: the exception that reports invalid input, such as a faulty configuration. Its message is
            printed, and the exit status is ``EXIT_BAD_INPUT``.
    """
    try:
        run()
    except input_error as error:
        print(f"{name}: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return EXIT_OK

"""The frame of a command-line program: a fault of its input ends it with one line on standard error."""

from __future__ import annotations

import sys
from collections.abc import Callable

from storage_gateway.errors import GatewayError

EXIT_OK = 0
EXIT_BAD_INPUT = 2


def run_program(name: str, run: Callable[[], None], input_error: type[GatewayError]) -> int:
    """Run a program to its end and return its exit status.

    Args:
        name: the program's name, which begins the line.
        run: the program; what else it raises is not caught.
        input_error: the error of an input that cannot be used, such as the configuration; its text names
            the fault.
    """
    try:
        run()
    except input_error as error:
        print(f"{name}: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return EXIT_OK

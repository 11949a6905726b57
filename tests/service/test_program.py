"""The exit status of a program, and the message that it prints about invalid input."""

import contextlib
import io
import unittest

import pytest

from storage_gateway.errors import ConfigurationError, WireFormatError
from storage_gateway.program import run_program


def fail_with(error: Exception) -> None:
    raise error


class RunProgramTest(unittest.TestCase):
    """A program that succeeds, one with invalid input, and one that fails otherwise."""

    def test_the_exit_status_is_zero_without_an_error(self) -> None:
        assert run_program("gateway", lambda: None, ConfigurationError) == 0

    def test_invalid_input_prints_one_line_and_exits_with_status_two(self) -> None:
        errors = io.StringIO()
        input_error = ConfigurationError("listen", "missing")

        with contextlib.redirect_stderr(errors):
            exit_status = run_program("gateway", lambda: fail_with(input_error), ConfigurationError)

        assert exit_status == 2
        assert errors.getvalue() == "gateway: listen: missing\n"

    def test_any_other_error_is_raised(self) -> None:
        with pytest.raises(WireFormatError):
            run_program("gateway", lambda: fail_with(WireFormatError("malformed batch")), ConfigurationError)

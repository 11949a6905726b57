"""The end of a program: its exit status, and the line that names a fault of its input."""

import contextlib
import io
import unittest

import pytest

from storage_gateway.errors import ConfigurationError, WireFormatError
from storage_gateway.program import run_program


def fail_with(error: Exception) -> None:
    raise error


class RunProgramTest(unittest.TestCase):
    """A program that ends well, with a fault of its input, or with one of its own."""

    def test_the_exit_status_is_zero_without_a_fault(self) -> None:
        assert run_program("gateway", lambda: None, ConfigurationError) == 0

    def test_a_fault_of_the_input_is_one_line_and_exit_status_two(self) -> None:
        errors = io.StringIO()
        fault = ConfigurationError("listen", "missing")

        with contextlib.redirect_stderr(errors):
            exit_status = run_program("gateway", lambda: fail_with(fault), ConfigurationError)

        assert exit_status == 2
        assert errors.getvalue() == "gateway: listen: missing\n"

    def test_any_other_error_is_raised(self) -> None:
        with pytest.raises(WireFormatError):
            run_program("gateway", lambda: fail_with(WireFormatError("a fault")), ConfigurationError)

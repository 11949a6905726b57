"""Typed access to a table of a configuration file."""

from __future__ import annotations

import math
import unittest
from typing import Any

import pytest

from storage_gateway.config.schema import Address
from storage_gateway.config.table import ConfigTable, is_finite_number, read_address
from storage_gateway.errors import ConfigurationError


class ConfigTableTest(unittest.TestCase):
    """Checks of values, and the key paths in errors."""

    def test_default_of_a_number_may_lie_outside_its_range(self) -> None:
        table = ConfigTable({"given": 2}, "t.")
        assert table.positive_number("given", math.inf) == 2.0
        assert table.positive_number("absent", math.inf) == math.inf

    def test_error_names_the_path_through_tables_and_lists(self) -> None:
        table = ConfigTable({"inner": {"list": [{}, {"key": 1}]}}, "")
        with pytest.raises(ConfigurationError, match=r"^inner\.list\[1\]\.key: expected a string, found 1$"):
            table.table("inner").tables("list")[1].string("key")

    def test_key_that_was_not_read_is_unknown(self) -> None:
        table = ConfigTable({"read": True, "other": 1}, "t.")
        assert table.boolean("read")
        with pytest.raises(ConfigurationError, match=r"^t\.other: unknown key$"):
            table.reject_unknown_keys()


@pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf, True, "1", None])
def test_value_is_not_a_finite_number(value: Any) -> None:
    assert not is_finite_number(value)


@pytest.mark.parametrize("text", ["h", ":1", "h:", "h:65536", "h:-1", "h:1x", "h:123456"])
def test_invalid_address_is_rejected(text: str) -> None:
    with pytest.raises(ConfigurationError, match=r"^key: expected HOST:PORT"):
        read_address(text, "key")


def test_ipv6_address_is_written_in_brackets() -> None:
    assert read_address("[::1]:80", "key") == Address("::1", 80)

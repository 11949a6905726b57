"""Typed access to the tables of a configuration file; each error names the full path of the faulty key."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from storage_gateway.config.schema import Address
from storage_gateway.errors import ConfigurationError

MAX_NUMBER = 1e12  # exclusive bound on seconds, units, weights and rates
MAX_PORT = 65535

Choice = TypeVar("Choice")


@dataclass(slots=True)
class ConfigTable:
    """A table of a configuration file: a JSON object or a TOML table.

    Each method that reads a value raises ``ConfigurationError`` if the value is invalid, or if it is missing
    and has no default. A null value counts as missing.

    Attributes:
        values: the decoded table, not yet checked.
        key_prefix: prefix of the table's keys in error messages, such as ``settings.Lanes[0].``; empty for
            the root of the configuration file.
        accessed_keys: keys that have been read; ``reject_unknown_keys`` reports all others.
    """

    values: Mapping[str, Any]
    key_prefix: str
    accessed_keys: set[str] = field(default_factory=set)

    def error(self, key: str, reason: str) -> ConfigurationError:
        """Return the error for a key of this table."""
        return ConfigurationError(f"{self.key_prefix}{key}", reason)

    def value(self, key: str, default: Any = None) -> Any:
        """Return a value of any type; a missing one is the default, or an error if that is None."""
        self.accessed_keys.add(key)
        value = self.values.get(key)
        if value is None and default is None:
            raise self.error(key, "missing")
        return default if value is None else value

    def number(self, key: str, default: float | None = None) -> float:
        """Return a number from 0 to below ``MAX_NUMBER``; the default may lie outside that range."""
        value = self.value(key, default)
        if value is not default and not (is_finite_number(value) and 0 <= value < MAX_NUMBER):
            raise self.error(key, f"expected a number from 0 to below {MAX_NUMBER:g}, found {value!r}")
        return float(value)

    def positive_number(self, key: str, default: float | None = None) -> float:
        """Return a number above 0 and below ``MAX_NUMBER``; the default may lie outside that range."""
        value = self.value(key, default)
        if value is not default and not (is_finite_number(value) and 0 < value < MAX_NUMBER):
            raise self.error(key, f"expected a number above 0 and below {MAX_NUMBER:g}, found {value!r}")
        return float(value)

    def optional_number(self, key: str) -> float | None:
        """Return a number from 0 to below ``MAX_NUMBER``, or None if it is missing."""
        if self.values.get(key) is None:
            return None
        return self.number(key)

    def integer(self, key: str, minimum: int, maximum: int, default: int | None = None) -> int:
        """Return an integer from ``minimum`` to ``maximum``, both included; the default is checked too."""
        value = self.value(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
            raise self.error(key, f"expected an integer from {minimum} to {maximum}, found {value!r}")
        return value

    def string(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        value = self.value(key, default)
        if not isinstance(value, str):
            raise self.error(key, f"expected a string, found {value!r}")
        return value

    def boolean(self, key: str, default: bool = False) -> bool:
        """Return a boolean; numbers and strings are not converted."""
        value = self.value(key, default)
        if not isinstance(value, bool):
            raise self.error(key, f"expected true or false, found {value!r}")
        return value

    def choice(self, key: str, choices: Mapping[str, Choice], default: str | None = None) -> Choice:
        """Return the value that ``choices`` has for the name in the table."""
        name = self.string(key, default)
        if name not in choices:
            raise self.error(key, f"expected one of {', '.join(choices)}, found {name!r}")
        return choices[name]

    def address(self, key: str) -> Address:
        """Return an address, written as ``HOST:PORT`` or, for IPv6, ``[HOST]:PORT``."""
        return read_address(self.string(key), f"{self.key_prefix}{key}")

    def table(self, key: str, default: Mapping[str, Any] | None = None) -> ConfigTable:
        """Return a nested table."""
        value = self.value(key, default)
        if not isinstance(value, Mapping):
            raise self.error(key, f"expected a table, found {type(value).__name__}")
        return ConfigTable(value, f"{self.key_prefix}{key}.")

    def tables(self, key: str) -> list[ConfigTable]:
        """Return the tables of a list, which must not be empty."""
        values = self.value(key)
        if (
            not isinstance(values, list)
            or not values
            or not all(isinstance(item, Mapping) for item in values)
        ):
            raise self.error(key, "expected a non-empty list of tables")
        return [ConfigTable(item, f"{self.key_prefix}{key}[{index}].") for index, item in enumerate(values)]

    def strings(self, key: str) -> list[str]:
        """Return a list of strings; a missing one is empty."""
        return self._typed_list(str, key, "strings")

    def booleans(self, key: str) -> list[bool]:
        """Return a list of booleans; a missing one is empty."""
        return self._typed_list(bool, key, "booleans")

    def reject_unknown_keys(self) -> None:
        """Raise ``ConfigurationError`` if the table has a key that has not been read, such as a typo."""
        for key in self.values:
            if key not in self.accessed_keys:
                raise self.error(key, "unknown key")

    def _typed_list(self, item_type: type, key: str, item_type_name: str) -> list[Any]:
        values = self.value(key, [])
        if not isinstance(values, list) or not all(isinstance(item, item_type) for item in values):
            raise self.error(key, f"expected a list of {item_type_name}")
        return values


def is_finite_number(value: Any) -> bool:
    """Return whether a decoded value is a number other than NaN and infinity; booleans are not numbers."""
    return isinstance(value, int | float) and not isinstance(value, bool) and abs(value) < math.inf


def read_address(text: str, key: str) -> Address:
    """Parse ``HOST:PORT``; an IPv6 address is written in brackets.

    Args:
        text: the text to parse.
        key: full path of the key that holds the text, for the error.

    Raises:
        ConfigurationError: the text is not an address.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not re.fullmatch("[0-9]{1,5}", port) or int(port) > MAX_PORT:
        raise ConfigurationError(key, f"expected HOST:PORT with a port from 0 to {MAX_PORT}, found {text!r}")
    return Address(host.strip("[]"), int(port))

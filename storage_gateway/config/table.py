"""Typed access to a table of the configuration; each error names the full path of the faulty key."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from storage_gateway.config.schema import Address
from storage_gateway.errors import ConfigurationError

MAX_NUMBER = 1e12  # exclusive; numbers of the configuration are seconds, units, weights and rates
MAX_PORT = 65535

Choice = TypeVar("Choice")


@dataclass(slots=True)
class ConfigTable:
    """A table of the configuration.

    Each method that reads a value raises ``ConfigurationError`` where the value is missing or of another form
    than it wants. A null value counts as absent.

    Attributes:
        values: the table as it was decoded from JSON or TOML.
        path: what stands before the table's keys in errors, with the separator.
        used: keys that were read, for ``reject_unknown_keys``.
    """

    values: Mapping[str, Any]
    path: str
    used: set[str] = field(default_factory=set)

    def error(self, key: str, reason: str) -> ConfigurationError:
        """Return the error for a key of this table."""
        return ConfigurationError(f"{self.path}{key}", reason)

    def value(self, key: str, default: Any = None) -> Any:
        """Return the value of any type; absent it is the default, and an error where that is None."""
        self.used.add(key)
        value = self.values.get(key)
        if value is None and default is None:
            raise self.error(key, "missing")
        return default if value is None else value

    def number(self, key: str, default: float | None = None) -> float:
        """Return a number of 0 or more; the default may lie outside that range."""
        value = self.value(key, default)
        if value is not default and not (is_finite_number(value) and 0 <= value < MAX_NUMBER):
            raise self.error(key, f"want a number from 0 up, found {value!r}")
        return float(value)

    def positive_number(self, key: str, default: float | None = None) -> float:
        """Return a number above 0; the default may lie outside that range, as infinity does."""
        value = self.value(key, default)
        if value is not default and not (is_finite_number(value) and 0 < value < MAX_NUMBER):
            raise self.error(key, f"want a number above 0, found {value!r}")
        return float(value)

    def optional_number(self, key: str) -> float | None:
        """Return a number of 0 or more, or None where it is absent."""
        if self.values.get(key) is None:
            return None
        return self.number(key)

    def integer(self, key: str, minimum: int, maximum: int, default: int | None = None) -> int:
        """Return an integer within the bounds, both included."""
        value = self.value(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
            raise self.error(key, f"want a whole number from {minimum} to {maximum}, found {value!r}")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        value = self.value(key, default)
        if not isinstance(value, str):
            raise self.error(key, f"want a text, found {value!r}")
        return value

    def boolean(self, key: str, default: bool = False) -> bool:
        """Return true or false."""
        value = self.value(key, default)
        if not isinstance(value, bool):
            raise self.error(key, f"want true or false, found {value!r}")
        return value

    def choice(self, key: str, choices: Mapping[str, Choice], default: str | None = None) -> Choice:
        """Return what the named choice stands for."""
        name = self.text(key, default)
        if name not in choices:
            raise self.error(key, f"want one of {', '.join(choices)}, found {name!r}")
        return choices[name]

    def address(self, key: str) -> Address:
        """Return an address that is written ``HOST:PORT``."""
        return read_address(self.text(key), f"{self.path}{key}")

    def table(self, key: str, default: Mapping[str, Any] | None = None) -> ConfigTable:
        """Return a table inside this one."""
        value = self.value(key, default)
        if not isinstance(value, Mapping):
            raise self.error(key, "want a table")
        return ConfigTable(value, f"{self.path}{key}.")

    def tables(self, key: str) -> list[ConfigTable]:
        """Return the tables of a list that holds one at least."""
        values = self.value(key)
        if not isinstance(values, list) or not values or not all(isinstance(one, Mapping) for one in values):
            raise self.error(key, "want a list of tables, one at least")
        return [ConfigTable(one, f"{self.path}{key}[{index}].") for index, one in enumerate(values)]

    def texts(self, key: str) -> list[str]:
        """Return a list of strings; it is empty where it is absent."""
        return self._list_of(str, key, "texts")

    def booleans(self, key: str) -> list[bool]:
        """Return a list of true and false; it is empty where it is absent."""
        return self._list_of(bool, key, "true and false")

    def reject_unknown_keys(self) -> None:
        """Raise an error where the table holds a key that was never read."""
        for key in self.values:
            if key not in self.used:
                raise self.error(key, "unknown key")

    def _list_of(self, item_type: type, key: str, item_words: str) -> list[Any]:
        values = self.value(key, [])
        if not isinstance(values, list) or not all(isinstance(one, item_type) for one in values):
            raise self.error(key, f"want a list of {item_words}")
        return values


def is_finite_number(value: Any) -> bool:
    """Tell whether a decoded value is a number, neither infinite nor NaN; true and false are none."""
    return isinstance(value, int | float) and not isinstance(value, bool) and abs(value) < math.inf


def read_address(text: str, key: str) -> Address:
    """Decode ``HOST:PORT``; an IPv6 address stands in brackets.

    Args:
        text: what to decode.
        key: the full path of its key, for the error.

    Raises:
        ConfigurationError: the text is no address.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not re.fullmatch("[0-9]{1,5}", port) or int(port) > MAX_PORT:
        raise ConfigurationError(key, f"want HOST:PORT, found {text!r}")
    return Address(host.strip("[]"), int(port))

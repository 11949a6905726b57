"""Keeps modules out of the process that libraries import but the gateway never uses.

The gateway speaks plain TCP. The modules of TLS, and OpenSSL behind them, take several MB and a part of the
time of a start. asyncio and aiohttp work without them, as Python may be built without TLS.
"""

from __future__ import annotations

import importlib.util
import sys

TLS_MODULES = ("ssl", "_ssl")
OPENSSL_HASHES = "_hashlib"  # hashlib prefers it to the hashes below
BUILTIN_HASHES = ("_md5", "_sha1", "_sha3", "_blake2")


def exclude_unused_modules() -> None:
    """Make later imports of the modules fail as if they were not installed; loaded ones stay."""
    excluded = list(TLS_MODULES)
    if all(importlib.util.find_spec(name) for name in BUILTIN_HASHES):
        excluded.append(OPENSSL_HASHES)
    for name in excluded:
        # None makes an import raise ModuleNotFoundError, see "The import system" in Python's reference.
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]

"""Waiting for a condition that no event reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

POLL_INTERVAL_S = 0.005


async def wait_until(condition: Callable[[], Any]) -> None:
    """Poll until the condition holds; the caller sets the timeout."""
    while True:
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)

"""An event loop whose clock jumps to the next timer, so that tests of long timeouts take no time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in simulated time, for tasks that use no sockets. Its clock starts at 0."""

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward; called by the selector."""
        self._now += seconds


class _JumpingSelector(selectors.SelectSelector):
    """Advances the clock by the time that the event loop would wait."""

    def __init__(self, loop: SimulatedTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the descriptors that are ready, without waiting."""
        if timeout is None:
            raise RuntimeError("no task can continue: each waits for something that never happens")
        self._loop.advance(max(0.0, timeout))
        return super().select(0)


def run_in_simulated_time(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in an event loop of its own, and return its result."""
    with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
        return runner.run(main)

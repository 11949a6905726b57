"""A discovery service in simulated time, which answers as slowly as a test says."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, nullcontext
from types import TracebackType
from typing import Self
from unittest import mock

import aiohttp

from storage_gateway.config import Address
from storage_gateway.endpoints.transport import ByteStream
from tests.support.endpoints import discovery_entry, discovery_snapshot

EMPTY_MESSAGE_INTERVAL_S = 2.0
FIRST_VERSION = 7


class SimulatedDiscovery:
    """A discovery service whose list has one node, and whose changes are versions of that list.

    Args:
        response_time_s: seconds until a call is answered.
        answers_in_turn: whether one call is answered at a time. One that was given up takes its turn as well.

    Attributes:
        response_time_s: seconds until a call is answered.
        lost_calls: number of the next calls that are never answered.
        oldest_version: watches after an older version are rejected.
        call_times: when each call arrived.
        pending_calls: number of calls that are neither answered nor given up.
        version: version of the list.
    """

    def __init__(self, response_time_s: float = 0.0, *, answers_in_turn: bool = False) -> None:
        self.response_time_s = response_time_s
        self.lost_calls = 0
        self.oldest_version = 0
        self.call_times: list[float] = []
        self.pending_calls = 0
        self.version = FIRST_VERSION
        self._turn = asyncio.Lock() if answers_in_turn else nullcontext()
        self._watches: set[SimulatedWatch] = set()
        self._answers: set[asyncio.Task[None]] = set()

    def connect(self, address: Address) -> SimulatedTransport:
        """Return a transport for an instance that calls this service."""
        return SimulatedTransport(self)

    def change(self) -> None:
        """Change the list, and report this to the open watches."""
        self.version += 1
        for watch in self._watches:
            watch.send(self.encode_list())

    def reset_watches(self) -> None:
        """Break the open watches."""
        for watch in self._watches:
            watch.end(aiohttp.ClientConnectionError("reset"))
        self._watches.clear()

    def silence_watches(self) -> None:
        """Send nothing more to the open watches."""
        for watch in self._watches:
            watch.is_silent = True
        self._watches.clear()

    def encode_list(self) -> bytes:
        """Return the list as JSON, on one line."""
        endpoint_list = discovery_snapshot(
            discovery_entry("SERVING", 1000 + self.version), generation=self.version
        )
        return json.dumps(endpoint_list).encode() + b"\n"

    async def wait_for_answer(self) -> None:
        """Return once a call that arrives now is answered."""
        self.call_times.append(asyncio.get_running_loop().time())
        self.pending_calls += 1
        try:
            await self._wait_for_turn()
        finally:
            self.pending_calls -= 1

    def add_watch(self, version: int) -> SimulatedWatch:
        """Return a watch for the changes after this version.

        Raises:
            aiohttp.ClientResponseError: if the version is rejected.
        """
        if version < self.oldest_version:
            raise aiohttp.ClientResponseError(mock.Mock(), (), status=410)
        watch = SimulatedWatch()
        watch.send(b"\n" if version == self.version else self.encode_list())
        self._watches.add(watch)
        return watch

    def remove_watch(self, watch: SimulatedWatch) -> None:
        """Forget a watch that the client has closed."""
        self._watches.discard(watch)

    async def _wait_for_turn(self) -> None:
        if self.lost_calls > 0:
            self.lost_calls -= 1
            await asyncio.Event().wait()
        answer = asyncio.create_task(self._answer())
        self._answers.add(answer)
        answer.add_done_callback(self._answers.discard)
        await asyncio.shield(answer)

    async def _answer(self) -> None:
        async with self._turn:
            await asyncio.sleep(self.response_time_s)


class SimulatedWatch:
    """The stream of one watch."""

    def __init__(self) -> None:
        self.is_silent = False
        self._messages = asyncio.Queue[bytes | aiohttp.ClientError]()

    def send(self, message: bytes) -> None:
        """Send a message."""
        self._messages.put_nowait(message)

    def end(self, error: aiohttp.ClientError) -> None:
        """Break the connection."""
        self._messages.put_nowait(error)

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Iterate over the messages, and the empty ones between them."""
        while True:
            try:
                async with asyncio.timeout(None if self.is_silent else EMPTY_MESSAGE_INTERVAL_S):
                    message = await self._messages.get()
            except TimeoutError:
                message = b"\n"
            if self.is_silent:
                await asyncio.Event().wait()
            if isinstance(message, aiohttp.ClientError):
                raise message
            yield message


class SimulatedTransport:
    """The transport between one instance and the service.

    Args:
        service: the service that is called.
    """

    address = "simulated"

    def __init__(self, service: SimulatedDiscovery) -> None:
        self._service = service

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> None:
        pass

    async def fetch_list(self) -> bytes:
        """Return the list once the call has been answered."""
        await self._service.wait_for_answer()
        return self._service.encode_list()

    @asynccontextmanager
    async def open_watch(self, version: int) -> AsyncIterator[ByteStream]:
        """Open a watch once the call has been answered."""
        await self._service.wait_for_answer()
        watch = self._service.add_watch(version)
        try:
            yield watch
        finally:
            self._service.remove_watch(watch)

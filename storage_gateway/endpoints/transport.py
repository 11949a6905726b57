"""The calls to discovery over HTTP: the whole list, and a watch."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from types import TracebackType
from typing import Protocol, Self

import aiohttp

from storage_gateway.config import Address


class ByteStream(Protocol):
    """The body of a response, as it arrives."""

    def iter_any(self) -> AsyncIterator[bytes]:
        """Iterate over the data in parts of any size."""


class DiscoveryTransport(Protocol):
    """The calls to one discovery address; used as a context manager that closes its connections.

    A call that is cancelled closes its connection.

    Attributes:
        address: the address in the form that the log shows.
    """

    address: str

    async def __aenter__(self) -> Self: ...

    async def __aexit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> None: ...

    async def fetch_list(self) -> bytes:
        """Return the whole list as JSON.

        Raises:
            aiohttp.ClientError, OSError: if the call fails or is rejected.
        """

    def open_watch(self, version: int) -> AbstractAsyncContextManager[ByteStream]:
        """Open a watch for the changes after this version; entered once the response has begun.

        Raises:
            aiohttp.ClientError, OSError: if the call fails or is rejected, or if the connection breaks later.
        """


class HttpDiscoveryTransport:
    """The transport over HTTP/1.1. It sets no timeouts: the caller cancels what takes too long.

    Args:
        address: where discovery listens.
    """

    def __init__(self, address: Address) -> None:
        host = f"[{address.host}]" if ":" in address.host else address.host
        self.address = f"http://{host}:{address.port}/discovery/hosts"
        self._session: aiohttp.ClientSession

    async def __aenter__(self) -> Self:
        no_timeout = aiohttp.ClientTimeout(total=None)
        self._session = aiohttp.ClientSession(timeout=no_timeout, cookie_jar=aiohttp.DummyCookieJar())
        return self

    async def __aexit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> None:
        await self._session.close()

    async def fetch_list(self) -> bytes:
        """Return the whole list as JSON."""
        async with self._session.get(self.address, raise_for_status=True) as response:
            return await response.read()

    @asynccontextmanager
    async def open_watch(self, version: int) -> AsyncIterator[ByteStream]:
        """Open a watch for the changes after this version."""
        parameters = {"watch": "1", "after": str(version)}
        async with self._session.get(self.address, params=parameters, raise_for_status=True) as response:
            yield response.content

"""The watch on discovery: the list, its changes line by line, and a new start where the watch breaks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import structlog

from storage_gateway import policy_api as api
from storage_gateway.config import Address
from storage_gateway.endpoints.backoff import MOST_MOVED
from storage_gateway.endpoints.codec import decode_endpoint_update
from storage_gateway.endpoints.message_assembler import MOST_LINE, WatchMessageAssembler
from storage_gateway.endpoints.registry import EndpointUpdate
from storage_gateway.errors import ProtocolError

if TYPE_CHECKING:
    from storage_gateway.endpoints.discovery import DiscoveryClient as DiscoveryClient


SILENCE = 3.0  # seconds since the last whole line, where an empty one comes every two: the watch is dead
CALL = 1.5  # seconds for the whole list, or for the first line of a watch, from one service for all
CALL_ALONE = 1.0  # and from an agent of the front's own, which has what it has at once
log = structlog.get_logger()


class Watch:
    """The watch on one agent, kept up for ever. ``version`` is that agent's; None asks for the whole list."""

    def __init__(
        self, owner: DiscoveryClient, address: Address, version: int | None, turn: float = 0.0
    ) -> None:
        host = f"[{address.host}]" if ":" in address.host else address.host
        self.url, self.version = f"http://{host}:{address.port}/discovery/hosts", version
        self.turn, self.failures = turn, 0  # seconds until the first call; calls in a row without a line
        self.owner, self.task = owner, asyncio.create_task(self.run())

    async def run(self) -> None:
        """Where a change may have been missed, the whole list comes first."""
        await asyncio.sleep(self.turn)
        timeout = aiohttp.ClientTimeout(total=None)  # each step has its own
        async with aiohttp.ClientSession(
            timeout=timeout, cookie_jar=aiohttp.DummyCookieJar(), read_bufsize=MOST_LINE
        ) as session:
            while True:
                try:
                    if self.version is None:
                        await self.fetch(session)
                    await self.watch(session)
                    log.info("discovery_ended", address=self.url)
                except ProtocolError as error:
                    log.warning("discovery_line_skipped", why=str(error))
                    self.version = None  # the line may have held a change: take the whole list
                except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
                    why = f"{type(error).__name__}: {error}"
                    log.warning("discovery_lost", address=self.url, why=why, failures=self.failures)
                except Exception:  # guards the watch: nothing else would ever call again
                    log.exception("discovery_fault", address=self.url)
                    self.version = None
                pause = self.owner.pause(self.failures)
                self.failures += 1
                await asyncio.sleep(min(pause, MOST_MOVED) if self.moving() else pause)

    def moving(self) -> bool:
        return self is not self.owner.watches[0]

    async def fetch(self, session: aiohttp.ClientSession) -> None:
        limit = asyncio.timeout(self.owner.call)
        async with limit, session.get(self.url, raise_for_status=True) as response:
            listing = decode_endpoint_update(await response.read())
        self.take(listing, api.EndpointUpdateKind.SNAPSHOT)
        self.owner.settled(self)

    async def watch(self, session: aiohttp.ClientSession) -> None:
        """Silence counts from the last whole message: bytes that trickle in are none."""
        params, gathered = {"watch": "1", "after": str(self.version)}, WatchMessageAssembler()
        async with asyncio.timeout(self.owner.call) as silence:
            async with session.get(self.url, params=params, raise_for_status=True) as response:
                while line := await response.content.readline():
                    message = gathered.add(line)
                    if message is None:
                        continue
                    silence.reschedule(asyncio.get_running_loop().time() + SILENCE)
                    self.hear(len(line))
                    if message:
                        self.take(decode_endpoint_update(message))
            if gathered.text:
                raise ProtocolError("endpoint watch", "a message is cut")

    def hear(self, size: int) -> None:
        if self.failures or not self.owner.heard.is_set():
            log.info("discovery_heard", address=self.url, failures=self.failures, bytes=size)
        self.failures = 0
        self.owner.heard.set()

    def take(self, listing: EndpointUpdate, kind: api.EndpointUpdateKind | None = None) -> None:
        self.owner.take(listing, kind)
        self.version = listing.version
        self.owner.heard.set()


def __getattr__(name: str) -> Any:
    """Find DiscoveryClient under its earlier path, until the service has the new one."""
    if name == "DiscoveryClient":
        from storage_gateway.endpoints import discovery

        return discovery.DiscoveryClient
    raise AttributeError(name)

"""The watch on discovery: the list, its changes line by line, and a new start where the watch breaks."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable

import aiohttp
import structlog

from storage_gateway import policy_api as api
from storage_gateway.config import Address
from storage_gateway.endpoints.codec import decode_endpoint_update
from storage_gateway.endpoints.registry import EndpointRegistry, EndpointUpdate
from storage_gateway.errors import ProtocolError

WINDOW = 6.0  # seconds after which a change counts as told, once discovery had it and could be reached
SILENCE = 3.0  # seconds since the last whole line, where an empty one comes every two: the watch is dead
CALL = 1.5  # seconds for the whole list, or for the first line of a watch, from one service for all
CALL_ALONE = 1.0  # and from an agent of the front's own, which has what it has at once
PAUSE = 0.1  # the least spread of a next call
EACH = 0.15  # seconds of that spread for each front, where one service hears all: about what a list takes
MOST_FIRST = 1.25  # the most of that spread after a silence: silence, pause and call fit into the window
MOST_PAUSE = 2.75  # and after failures, however many: a call that fails, a pause and the next call fit
MOST_ALONE = 0.4  # where the front has an agent of its own, whom no other front's calls keep
MOST_MOVED = 0.9  # amid a move, which counts as told sooner
MOST_LINE = 1 << 20
log = structlog.get_logger()


def spread(failures: int, callers: int) -> float:
    """Seconds within which the next call falls, anywhere: twice as many after each failure in a row, up to
    what the window leaves.

    Guards discovery: what ends one watch ends all, and a fleet that comes back at once, or as fast as it is
    turned away, keeps the service at work on calls that nobody waits for any more.
    """
    most = MOST_ALONE if callers <= 1 else MOST_PAUSE if failures else MOST_FIRST
    return min(most, max(PAUSE, EACH * (callers - 1)) * 2.0 ** min(failures, 16))


class WatchMessageAssembler:
    """Puts the lines of a watch together to messages: one object a line, or an indented one over many."""

    def __init__(self) -> None:
        self.text = b""

    def add(self, line: bytes) -> bytes | None:
        """A whole message, an empty one included; None amid one."""
        if not line.endswith(b"\n"):
            raise ProtocolError("endpoint watch", "a line is cut")
        if not line.strip() and not self.text:
            return b""
        self.text += line
        if len(self.text) > MOST_LINE:
            raise ProtocolError("endpoint watch", "a message does not end")
        try:
            json.loads(self.text)
        except json.JSONDecodeError as error:
            if line.strip() and error.pos >= len(error.doc.rstrip()):
                return None  # it ended amid an object, as an indented one does
            raise ProtocolError("endpoint watch", str(error)) from error
        except (ValueError, RecursionError) as error:
            raise ProtocolError("endpoint watch", str(error)) from error
        text, self.text = self.text, b""
        return text


class DiscoveryClient:
    """Keeps the directory, and through it the policy, told: by one watch, or amid a move by two."""

    def __init__(
        self,
        address: Address,
        registry: EndpointRegistry,
        tell: Callable[[api.Event], None],
        callers: int = 1,
        seed: int = 0,
    ) -> None:
        self.address, self.registry, self.tell = address, registry, tell
        self.callers, self.random = callers, random.Random(seed)  # how many fronts call the same service
        self.call = CALL if callers > 1 else CALL_ALONE
        self.heard = asyncio.Event()  # something, in this life
        self.taken_at = time.monotonic()  # when the latest word on the list came
        self.watches: list[Watch] = []  # the last one is on the address that counts

    def take(self, listing: EndpointUpdate, kind: api.EndpointUpdateKind | None = None) -> None:
        """A list goes to the directory and, in the same turn, to the policy."""
        whole = api.EndpointUpdateKind.SNAPSHOT if listing.is_snapshot else api.EndpointUpdateKind.DELTA
        self.taken_at = time.monotonic()
        self.tell(api.EndpointsChanged(kind or whole, self.registry.apply(listing)))

    def start(self) -> None:
        """Watch; an old copy of the list counts, as its versions are this agent's. Who has one and shares the
        service takes a turn: all fronts may have started at one time.
        """
        turn = self.pause(0) if self.registry.endpoints and self.callers > 1 else 0.0
        self.watches.append(Watch(self, self.address, self.registry.version, turn))

    def pause(self, failures: int) -> float:
        """Seconds until the next call, after so many in a row that brought no list."""
        return self.random.random() * spread(failures, self.callers)

    def move(self, address: Address) -> None:
        """Watch another agent. The whole list comes first, as the old one's versions are nothing to it. Until
        it has come the old watch goes on: nothing is missed, and no wait on the old one delays the new.
        """
        self.address = address
        self.watches.append(Watch(self, address, None))

    def settled(self, watch: Watch) -> None:
        """This one has told its whole list: from here on, what an older one says could only undo that."""
        while self.watches and self.watches[0] is not watch:
            self.watches.pop(0).task.cancel()

    def status_fields(self) -> dict[str, object]:
        """For the log: which list counts, since when, and whether its watch fails."""
        return {
            "list": self.registry.version,
            "list_age_s": round(time.monotonic() - self.taken_at, 1),
            "watch_failures": self.watches[-1].failures if self.watches else None,
        }

    def stop(self) -> None:
        for watch in self.watches:
            watch.task.cancel()


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

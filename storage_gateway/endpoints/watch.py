"""The endpoint watch: follows the endpoint list of one discovery address and its changes."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Protocol

import aiohttp
import structlog

from storage_gateway import policy_api as api
from storage_gateway.config import Address
from storage_gateway.endpoints.backoff import MAX_MOVE_BACKOFF_S, ReconnectBackoff
from storage_gateway.endpoints.codec import decode_json
from storage_gateway.endpoints.cooperative import read_lines, read_update
from storage_gateway.endpoints.message_assembler import MAX_MESSAGE_BYTES, WatchMessageAssembler
from storage_gateway.endpoints.registry import EndpointUpdate
from storage_gateway.errors import ProtocolError

IDLE_TIMEOUT_S = 3.0  # since the last complete message; a working watch sends an empty one every 2 s
BUSY_STATUSES = (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS)
log = structlog.get_logger()


class WatchOwner(Protocol):
    """The parts of the discovery client that its watches use.

    Attributes:
        backoff: draws the delays between the calls of a watch.
        call_timeout_s: seconds for the whole list, or for the first message of a watch.
        connected: set once a first message of any watch has been applied.
    """

    backoff: ReconnectBackoff
    call_timeout_s: float
    connected: asyncio.Event

    def publish(self, update: EndpointUpdate, kind: api.EndpointUpdateKind | None = None) -> None:
        """Apply an update to the registry and post it to the policy."""

    def confirm_list(self) -> None:
        """Use the list that is held: nothing has changed since its version."""

    def supersede_older_watches(self, watch: EndpointWatch) -> None:
        """Cancel the watches that were started before this one."""

    def is_moving_to(self, watch: EndpointWatch) -> bool:
        """Return whether an older watch continues until this one has its list."""


class EndpointWatch:
    """The watch on one discovery address, which reconnects until it is cancelled.

    Attributes:
        initial_delay_s: seconds from the start of the watch to its first call.
        failures: consecutive calls that ended before a message arrived.
    """

    def __init__(
        self, owner: WatchOwner, address: Address, version: int | None, initial_delay_s: float = 0.0
    ) -> None:
        """Start the watch.

        Args:
            owner: the client that publishes the updates, and that cancels and awaits the watch.
            address: where discovery listens.
            version: this address's version of the list already held; None to fetch the whole list first.
            initial_delay_s: seconds from now to the first call.
        """
        host = f"[{address.host}]" if ":" in address.host else address.host
        self.initial_delay_s = initial_delay_s
        self.failures = 0
        self._owner = owner
        self._url = f"http://{host}:{address.port}/discovery/hosts"
        self._version = version
        self._task = asyncio.create_task(self._run())

    def cancel(self) -> None:
        """Cancel the watch; it publishes nothing from now on."""
        self._task.cancel()

    def is_closed(self) -> bool:
        """Return whether the watch has ended and its connection is closed."""
        return self._task.done()

    async def wait_closed(self) -> None:
        """Wait until a cancelled watch has ended and its connection is closed."""
        await asyncio.wait([self._task])

    async def _run(self) -> None:
        await asyncio.sleep(self.initial_delay_s)
        no_timeout = aiohttp.ClientTimeout(total=None)  # each call sets its own
        async with aiohttp.ClientSession(timeout=no_timeout, cookie_jar=aiohttp.DummyCookieJar()) as session:
            while True:
                await self._fetch_and_follow(session)
                await asyncio.sleep(self._next_delay_s())

    async def _fetch_and_follow(self, session: aiohttp.ClientSession) -> None:
        """Follow the list until the connection ends or fails.

        If a change may have been missed, the version is dropped and the next call fetches the whole list.
        """
        try:
            if self._version is None:
                await self._fetch_list(session)
            await self._follow_changes(session)
            log.info("endpoint_watch_ended", address=self._url)
        except ProtocolError as error:
            log.warning("watch_message_skipped", reason=str(error))
            self._version = None  # the message may have contained a change
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            reason = f"{type(error).__name__}: {error}"
            log.warning("endpoint_watch_failed", address=self._url, reason=reason, failures=self.failures)
            if _rejects_version(error):
                self._version = None
        except Exception:  # a bug must not end the task, as nothing else would call discovery again
            log.exception("endpoint_watch_crashed", address=self._url)
            self._version = None

    def _next_delay_s(self) -> float:
        delay_s = self._owner.backoff.delay_s(self.failures)
        self.failures += 1
        if self._owner.is_moving_to(self):
            return min(delay_s, MAX_MOVE_BACKOFF_S)
        return delay_s

    async def _fetch_list(self, session: aiohttp.ClientSession) -> None:
        async with (
            asyncio.timeout(self._owner.call_timeout_s),
            session.get(self._url, raise_for_status=True) as response,
        ):
            text = await response.read()
        update = await read_update(decode_json(text))
        self._publish(update, api.EndpointUpdateKind.SNAPSHOT)
        self._owner.supersede_older_watches(self)

    async def _follow_changes(self, session: aiohttp.ClientSession) -> None:
        """Publish each change until the connection ends.

        The idle timeout counts from the last complete message, so bytes of one that never ends do not extend
        it.
        """
        parameters = {"watch": "1", "after": str(self._version)}
        assembler = WatchMessageAssembler()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._owner.call_timeout_s) as timeout:
            async with session.get(self._url, params=parameters, raise_for_status=True) as response:
                async for line in read_lines(response.content, MAX_MESSAGE_BYTES, timeout):
                    message = assembler.add(line)
                    if message is None:
                        continue
                    timeout.reschedule(loop.time() + IDLE_TIMEOUT_S)
                    self._record_message(len(line))
                    if message.is_blank:
                        self._owner.confirm_list()
                    else:
                        self._publish(await read_update(message.value, timeout))
            assembler.end()

    def _record_message(self, line_bytes: int) -> None:
        if self.failures or not self._owner.connected.is_set():
            log.info("endpoint_watch_connected", address=self._url, failures=self.failures, bytes=line_bytes)
        self.failures = 0

    def _publish(self, update: EndpointUpdate, kind: api.EndpointUpdateKind | None = None) -> None:
        self._owner.publish(update, kind)
        self._version = update.version


def _rejects_version(error: Exception) -> bool:
    """Return whether a call failed for what it asked for, and not because the service is busy or silent."""
    if not isinstance(error, aiohttp.ClientResponseError):
        return False
    is_client_error = HTTPStatus.BAD_REQUEST <= error.status < HTTPStatus.INTERNAL_SERVER_ERROR
    return is_client_error and error.status not in BUSY_STATUSES

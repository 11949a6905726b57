"""The endpoint watch: follows the endpoint list of one discovery address and its changes."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from http import HTTPStatus
from typing import Protocol

import aiohttp
import structlog

from storage_gateway import policy_api as api
from storage_gateway.endpoints.backoff import ReconnectBackoff
from storage_gateway.endpoints.call_schedule import CallSchedule
from storage_gateway.endpoints.codec import decode_json
from storage_gateway.endpoints.cooperative import read_lines, read_update
from storage_gateway.endpoints.message_assembler import MAX_MESSAGE_BYTES, WatchMessageAssembler
from storage_gateway.endpoints.pending_calls import CallTarget, DiscoveryCall, PendingCalls
from storage_gateway.endpoints.registry import EndpointUpdate
from storage_gateway.endpoints.transport import DiscoveryTransport
from storage_gateway.errors import ProtocolError

IDLE_TIMEOUT_S = 3.0  # since the last complete message; a working watch sends an empty one every 2 s
BUSY_STATUSES = (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS)
log = structlog.get_logger()


class WatchOwner(Protocol):
    """The parts of the discovery client that its watches use.

    Attributes:
        backoff: draws the delays between the calls of a watch.
        connected: set once a first message of any watch has been applied.
    """

    backoff: ReconnectBackoff
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

    It makes another call beside those that are late or have fallen silent (``CallSchedule``). The first call
    that is answered ends all others, so that only one of them publishes updates.

    Attributes:
        initial_delay_s: seconds from the start of the watch to its first call.
    """

    def __init__(
        self,
        owner: WatchOwner,
        transport: DiscoveryTransport,
        version: int | None,
        initial_delay_s: float = 0.0,
    ) -> None:
        """Start the watch.

        Args:
            owner: the client that publishes the updates, and that cancels and awaits the watch.
            transport: makes the calls; it is closed at the end of the watch.
            version: this address's version of the list already held; None to fetch the whole list first.
            initial_delay_s: seconds from now to the first call.
        """
        self.initial_delay_s = initial_delay_s
        self._owner = owner
        self._transport = transport
        self._version = version
        self._loop = asyncio.get_running_loop()
        self._schedule = CallSchedule(owner.backoff)
        self._waits_until = 0.0  # event loop time at which the next call was due when the wait for it began
        self._rescheduled = asyncio.Event()  # set when the next call has become due earlier than that
        self._calls = PendingCalls(transport.address, self._loop)
        self._task = asyncio.create_task(self._run())

    @property
    def failures(self) -> int:
        """Consecutive calls that ended, or were late, before a message arrived."""
        return self._schedule.failures

    def status_fields(self) -> dict[str, object]:
        """Return fields for the status line: failed and pending calls, and the times that calls take."""
        unanswered = self._calls.list_unanswered()
        response_time_s = self._schedule.response_time_s
        return {
            "watch_failures": self.failures,
            "discovery_response_s": None if response_time_s is None else round(response_time_s, 2),
            "discovery_pending_calls": len(unanswered),
            "discovery_longest_wait_s": self._calls.waited_s(unanswered[0]) if unanswered else None,
        }

    def cancel(self) -> None:
        """Cancel the watch; it publishes nothing from now on.

        The task group would cancel the calls only in the next iteration of the event loop, and a message that
        has arrived would be published before.
        """
        self._calls.cancel_all()
        self._task.cancel()

    def is_closed(self) -> bool:
        """Return whether the watch has ended and its connections are closed."""
        return self._task.done()

    async def wait_closed(self) -> None:
        """Wait until a cancelled watch has ended and its connections are closed."""
        await asyncio.wait([self._task])

    async def _run(self) -> None:
        async with self._transport, asyncio.TaskGroup() as tasks:
            await asyncio.sleep(self.initial_delay_s)
            while True:
                self._calls.give_up_expired()
                self._start_call(tasks)
                await self._wait_until_call_is_due()

    async def _wait_until_call_is_due(self) -> None:
        while (due := self._schedule.next_call_at) > self._loop.time():
            self._waits_until = due
            self._rescheduled.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout_at(due):
                    await self._rescheduled.wait()

    def _wake_if_due_earlier(self) -> None:
        if self._schedule.next_call_at < self._waits_until:
            self._rescheduled.set()

    def _start_call(self, tasks: asyncio.TaskGroup) -> None:
        call = DiscoveryCall(self._version, self._loop.time())
        self._schedule_next_call()
        self._calls.add(call)
        call.task = tasks.create_task(self._run_call(call))

    def _schedule_next_call(self) -> None:
        """Schedule the call after the one that is sent now, and is not among the pending ones yet."""
        self._schedule.record_call(
            self._loop.time(),
            others_are_pending=bool(self._calls.list_unanswered()),
            is_moving=self._owner.is_moving_to(self),
        )
        self._wake_if_due_earlier()

    async def _run_call(self, call: DiscoveryCall) -> None:
        """Follow the list until the connection ends or fails.

        If a change may have been missed, the version is dropped and the next call fetches the whole list.
        """
        rejects_version = False
        try:
            version = await self._fetch_list(call) if call.version is None else call.version
            await self._follow_changes(call, version)
            log.info("endpoint_watch_ended", address=self._transport.address)
        except ProtocolError as error:
            log.warning("watch_message_skipped", reason=str(error))
            self._version = None  # the message may have contained a change
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            self._log_failure(call, error)
            rejects_version = call.target is CallTarget.WATCH and _is_rejection(error)
        except Exception:  # a bug must not end the task, as nothing else would call discovery again
            log.exception("endpoint_watch_crashed", address=self._transport.address)
            self._version = None
        self._end_call(call, rejects_version)

    def _end_call(self, call: DiscoveryCall, rejects_version: bool) -> None:
        self._calls.remove(call)
        now = self._loop.time()
        is_moving = self._owner.is_moving_to(self)
        drops_version = rejects_version and call.version == self._version
        if drops_version and not call.has_fetched_list:
            self._schedule.record_rejected_version(now)
        else:
            self._schedule.record_end(now, others_are_pending=bool(self._calls), is_moving=is_moving)
        if drops_version:
            self._version = None
        self._wake_if_due_earlier()

    async def _fetch_list(self, call: DiscoveryCall) -> int:
        """Publish the whole list, and return its version."""
        text = await self._transport.fetch_list()
        self._record_answer(call)
        update = await read_update(decode_json(text))
        self._publish(update, api.EndpointUpdateKind.SNAPSHOT)
        self._owner.supersede_older_watches(self)
        self._schedule_next_call()
        call.follow_list(update.version, self._loop.time())
        return update.version

    async def _follow_changes(self, call: DiscoveryCall, version: int) -> None:
        """Publish each change after this version until the connection ends.

        The idle timeout counts from the last complete message, so bytes of one that never ends do not extend
        it. Before the first message there is none: the schedule decides how long the call is waited for.
        """
        assembler = WatchMessageAssembler()
        async with asyncio.timeout(None) as timeout:
            async with self._transport.open_watch(version) as stream:
                async for line in read_lines(stream, MAX_MESSAGE_BYTES, timeout):
                    message = assembler.add(line)
                    if message is None:
                        continue
                    timeout.reschedule(self._loop.time() + IDLE_TIMEOUT_S)
                    self._record_answer(call)
                    self._log_connected(len(line))
                    if message.is_blank:
                        self._owner.confirm_list()
                    else:
                        self._publish(await read_update(message.value, timeout))
                    self._schedule.record_message(self._loop.time())
                    self._wake_if_due_earlier()
            assembler.end()

    def _record_answer(self, call: DiscoveryCall) -> None:
        """Record an answer, or a further message of a watch: no other call is needed."""
        self._schedule.record_answer(self._calls.record_answer(call))

    def _log_connected(self, line_bytes: int) -> None:
        if self.failures or not self._owner.connected.is_set():
            log.info(
                "endpoint_watch_connected",
                address=self._transport.address,
                failures=self.failures,
                bytes=line_bytes,
            )

    def _log_failure(self, call: DiscoveryCall, error: Exception) -> None:
        log.warning(
            "endpoint_watch_failed",
            address=self._transport.address,
            target=call.target.value,
            reason=f"{type(error).__name__}: {error}",
            failures=self.failures,
            waited_s=None if call.is_answered else self._calls.waited_s(call),
        )

    def _publish(self, update: EndpointUpdate, kind: api.EndpointUpdateKind | None = None) -> None:
        self._owner.publish(update, kind)
        self._version = update.version


def _is_rejection(error: Exception) -> bool:
    """Return whether a call failed for what it asked for, and not because the service is busy or silent."""
    if not isinstance(error, aiohttp.ClientResponseError):
        return False
    is_client_error = HTTPStatus.BAD_REQUEST <= error.status < HTTPStatus.INTERNAL_SERVER_ERROR
    return is_client_error and error.status not in BUSY_STATUSES

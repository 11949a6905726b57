"""Calls to a discovery that all fronts share: they are spread, and go on less often after failures."""

import asyncio
import json
import socket
import unittest
from typing import Any
from unittest import mock

from storage_gateway import policy_api as api
from storage_gateway.config import Address
from storage_gateway.endpoints import watch as module
from storage_gateway.endpoints.backoff import MOST_ALONE, MOST_MOVED, MOST_PAUSE, PAUSE, WINDOW, spread
from storage_gateway.endpoints.discovery import DiscoveryClient
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.endpoints.watch import CALL, CALL_ALONE, SILENCE
from tests.support.peers import FakeDiscovery, FakePeer, apply_endpoints, make_endpoint, make_response

NOWHERE = Address("127.0.0.1", 1)


def discovery(callers: int, seed: int = 0, registry: EndpointRegistry | None = None) -> DiscoveryClient:
    return DiscoveryClient(NOWHERE, registry or EndpointRegistry({}), lambda event: None, callers, seed)


class BusyDiscovery(FakePeer):
    """Turns away so many calls, then tells an empty line."""

    def __init__(self, failures: int) -> None:
        super().__init__()
        self.failures = failures

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if self.failures:
            self.failures -= 1
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\n\r\n")


def test_the_spread_grows_with_the_fleet_and_with_failures_up_to_a_bound() -> None:
    assert spread(0, 1) == PAUSE
    assert spread(0, 40) > 10 * spread(0, 1)
    assert spread(1, 8) == 2 * spread(0, 8)
    assert spread(10**6, 10**6) == MOST_PAUSE


def test_an_agent_of_its_own_is_called_again_soon_however_often_it_failed() -> None:
    assert spread(10**6, 1) == MOST_ALONE <= 1.0


def test_silence_or_a_failed_call_a_pause_and_the_next_call_fit_into_the_window() -> None:
    for callers in (1, 2, 40, 10**6):
        call = CALL if callers > 1 else CALL_ALONE
        assert SILENCE + spread(0, callers) + call < WINDOW
        for failures in (1, 2, 5, 10**6):
            assert call + spread(failures, callers) + call < WINDOW
            assert call + min(MOST_MOVED, spread(failures, callers)) + call < 4.0  # a move counts sooner


def test_fronts_that_lose_their_watch_at_once_do_not_come_back_at_once() -> None:
    pauses = sorted(discovery(40, seed).pause(0) for seed in range(40))
    width = spread(0, 40)
    for part in range(4):  # each quarter of the spread has its share of the fleet
        assert sum(part * width / 4 <= pause < (part + 1) * width / 4 for pause in pauses) >= 4


class SharedDiscovery(unittest.IsolatedAsyncioTestCase):
    async def first_pause(self, callers: int, known: bool) -> float:
        registry = EndpointRegistry({})
        if known:
            apply_endpoints(registry, make_endpoint("s-1", 1))
        one = discovery(callers, 3, registry)
        one.start()
        one.stop()
        return one.watches[0].turn

    async def test_the_first_call_takes_a_turn_where_an_old_list_is_at_hand(self) -> None:
        assert await self.first_pause(40, known=True) > 0.0
        assert await self.first_pause(40, known=False) == 0.0
        assert await self.first_pause(1, known=True) == 0.0

    async def test_failures_in_a_row_are_counted_until_a_line_comes(self) -> None:
        service = await BusyDiscovery(3).start()
        told: list[Any] = []
        one = DiscoveryClient(Address("127.0.0.1", service.port), EndpointRegistry({}), told.append, 40)
        one.registry.version = 7
        counted = asyncio.Queue[int]()

        def pause(failures: int) -> float:
            counted.put_nowait(failures)
            return 0.0

        with mock.patch.object(one, "pause", pause):
            one.start()
            async with asyncio.timeout(5):
                seen = [await counted.get() for _ in range(5)]
        one.stop()
        service.stop()
        assert seen == [0, 1, 2, 0, 0]

    async def test_a_lone_front_still_has_its_list_at_once(self) -> None:
        agent = await FakeDiscovery({"generation": 1, "reset": True, "instances": []}, [[b""]]).start()
        told = asyncio.Queue[api.Event]()
        one = DiscoveryClient(Address("127.0.0.1", agent.port), EndpointRegistry({}), told.put_nowait)
        one.start()
        async with asyncio.timeout(5):
            assert await told.get() == api.EndpointsChanged(api.EndpointUpdateKind.SNAPSHOT, [])
        one.stop()
        agent.stop()


ENTRY = {"instanceId": "s-a", "hostPort": "127.0.0.1:9", "zone": "z", "cell": 0, "lifecycle": "SERVING"}
WHOLE: dict[str, Any] = {"generation": 7, "reset": True, "instances": [ENTRY]}
DRAINING: dict[str, Any] = {
    "generation": 8, "reset": False, "instances": [{**ENTRY, "lifecycle": "DRAINING"}]
}  # fmt: skip
HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class ScriptedAgent(FakePeer):
    """Each call is met by the next of the scripted ways; the last one meets all that follow."""

    def __init__(self, *ways: Any) -> None:
        super().__init__()
        self.ways, self.asked = list(ways), asyncio.Queue[str]()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.asked.put_nowait((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
        way = self.ways.pop(0) if len(self.ways) > 1 else self.ways[0]
        await way(writer)


async def whole(writer: asyncio.StreamWriter) -> None:
    writer.write(make_response(200, json.dumps(WHOLE).encode(), "Connection: close"))


async def silent(writer: asyncio.StreamWriter) -> None:
    await asyncio.Event().wait()


async def trickling(writer: asyncio.StreamWriter) -> None:
    """A line that never ends, a byte now and then."""
    writer.write(HEAD + chunk(b"\n"))
    while True:
        writer.write(chunk(b" "))
        await writer.drain()
        await asyncio.sleep(0.01)


async def endless_list(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 99999\r\n\r\n")
    while True:
        writer.write(b" ")
        await writer.drain()
        await asyncio.sleep(0.01)


async def cut(writer: asyncio.StreamWriter) -> None:
    """A change whose line is cut in the end, though what came can be read."""
    writer.write(HEAD + chunk(json.dumps(DRAINING).encode()) + b"0\r\n\r\n")


async def indented(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD)
    for line in (json.dumps(DRAINING, indent=2) + "\n\n").splitlines(keepends=True):
        writer.write(chunk(line.encode()))
    await asyncio.Event().wait()


async def malformed(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + chunk(b'{"generation": 8,\n') + chunk(b"\n"))
    await asyncio.Event().wait()


class Broken(unittest.IsolatedAsyncioTestCase):
    """Whatever way a call breaks, the next one comes; times are a tenth of the real ones."""

    async def calls(self, *ways: Any, known: bool = False, count: int = 3) -> list[str]:
        agent = await ScriptedAgent(*ways).start()
        self.addCleanup(agent.stop)
        self.told = asyncio.Queue[api.Event]()
        one = DiscoveryClient(Address("127.0.0.1", agent.port), EndpointRegistry({}), self.told.put_nowait)
        one.registry.version = 7 if known else None
        with mock.patch.multiple(module, SILENCE=0.3, CALL_ALONE=0.15):
            one.call = 0.15
            one.start()
            self.addCleanup(one.stop)
            async with asyncio.timeout(5):
                return [await agent.asked.get() for _ in range(count)]

    async def test_a_call_that_is_not_answered_is_given_up(self) -> None:
        watch = "/discovery/hosts?watch=1&after=7"
        assert await self.calls(silent, known=True) == [watch] * 3

    async def test_a_list_that_does_not_end_is_given_up(self) -> None:
        assert await self.calls(endless_list) == ["/discovery/hosts"] * 3

    async def test_bytes_that_trickle_in_are_no_line(self) -> None:
        watch = "/discovery/hosts?watch=1&after=7"
        assert await self.calls(trickling, known=True) == [watch] * 3

    async def test_a_line_that_is_cut_is_not_taken_and_the_whole_list_follows(self) -> None:
        found = await self.calls(cut, whole, silent, known=True)
        assert found[:2] == ["/discovery/hosts?watch=1&after=7", "/discovery/hosts"]
        news = await self.told.get()
        assert isinstance(news, api.EndpointsChanged)
        assert (news.kind, news.entries[0].state) == (
            api.EndpointUpdateKind.SNAPSHOT,
            api.EndpointState.SERVING,
        )

    async def test_a_malformed_message_over_two_lines_is_followed_by_the_whole_list(self) -> None:
        found = await self.calls(malformed, whole, silent, known=True)
        assert found[:2] == ["/discovery/hosts?watch=1&after=7", "/discovery/hosts"]

    async def test_an_indented_message_is_one(self) -> None:
        found = await self.calls(whole, indented, count=2)
        assert found[1] == "/discovery/hosts?watch=1&after=7"
        async with asyncio.timeout(5):
            news = [await self.told.get() for _ in range(2)]
        kinds = [(one.kind, one.entries[0].state) for one in news if isinstance(one, api.EndpointsChanged)]
        assert kinds[1] == (api.EndpointUpdateKind.DELTA, api.EndpointState.DRAINING)

    async def test_a_fault_of_the_front_s_own_does_not_end_the_watch(self) -> None:
        with mock.patch.object(EndpointRegistry, "apply", side_effect=[KeyError("of ours"), []]):
            found = await self.calls(whole, whole, silent)
        assert found[:2] == ["/discovery/hosts"] * 2

    async def test_an_address_that_refuses_is_called_until_it_does_not(self) -> None:
        agent = await ScriptedAgent(whole, silent).start()
        self.addCleanup(agent.stop)
        refusing = socket.create_server(("127.0.0.1", 0))
        address = Address("127.0.0.1", refusing.getsockname()[1])
        refusing.close()
        told = asyncio.Queue[api.Event]()
        one = DiscoveryClient(address, EndpointRegistry({}), told.put_nowait)
        one.start()
        self.addCleanup(one.stop)
        async with asyncio.timeout(5):
            while one.watches[0].failures < 2:
                await asyncio.sleep(0.005)
            later = ScriptedAgent(whole, silent)
            later.server = await asyncio.start_server(later.connected, address.host, address.port)
            self.addCleanup(later.stop)
            await told.get()

    async def test_after_a_move_a_new_agent_that_is_silent_at_first_is_called_again_soon(self) -> None:
        agent = await ScriptedAgent(silent, whole, silent).start()
        self.addCleanup(agent.stop)
        told = asyncio.Queue[api.Event]()
        one = DiscoveryClient(NOWHERE, EndpointRegistry({}), told.put_nowait, 10**6)
        one.call = 0.15
        one.start()
        one.move(Address("127.0.0.1", agent.port))
        self.addCleanup(one.stop)
        self.enterContext(mock.patch.object(one, "pause", lambda failures: 60.0))
        self.enterContext(mock.patch.object(module, "MOST_MOVED", 0.0))
        async with asyncio.timeout(5):
            await told.get()

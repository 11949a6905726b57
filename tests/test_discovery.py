"""Calls to a discovery that all fronts share: they are spread, and go on less often after failures."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from cleatyoke import api
from cleatyoke.config import Address
from cleatyoke.directory import Directory
from cleatyoke.net.discovery import MOST_ALONE, MOST_PAUSE, PAUSE, Discovery, spread
from tests.wire import DiscoveryAgent, Peer, instance, listed

NOWHERE = Address("127.0.0.1", 1)


def discovery(callers: int, seed: int = 0, directory: Directory | None = None) -> Discovery:
    return Discovery(NOWHERE, directory or Directory({}), lambda event: None, callers, seed)


class BusyDiscovery(Peer):
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
    assert spread(1, 20) == 2 * spread(0, 20)
    assert spread(10**6, 10**6) == MOST_PAUSE


def test_an_agent_of_its_own_is_called_again_soon_however_often_it_failed() -> None:
    assert spread(10**6, 1) == MOST_ALONE <= 1.0


def test_fronts_that_lose_their_watch_at_once_do_not_come_back_at_once() -> None:
    pauses = sorted(discovery(40, seed).pause(0) for seed in range(40))
    width = spread(0, 40)
    for part in range(4):  # each quarter of the spread has its share of the fleet
        assert sum(part * width / 4 <= pause < (part + 1) * width / 4 for pause in pauses) >= 4


class SharedDiscovery(unittest.IsolatedAsyncioTestCase):
    async def first_pause(self, callers: int, known: bool) -> float:
        directory = Directory({})
        if known:
            listed(directory, instance("s-1", 1))
        one = discovery(callers, 3, directory)
        one.start()
        one.stop()
        return one.watches[0].turn

    async def test_the_first_call_takes_a_turn_where_an_old_list_is_at_hand(self) -> None:
        self.assertGreater(await self.first_pause(40, known=True), 0.0)
        self.assertEqual(await self.first_pause(40, known=False), 0.0)
        self.assertEqual(await self.first_pause(1, known=True), 0.0)

    async def test_failures_in_a_row_are_counted_until_a_line_comes(self) -> None:
        service = await BusyDiscovery(3).start()
        told: list[Any] = []
        one = Discovery(Address("127.0.0.1", service.port), Directory({}), told.append, 40)
        one.directory.version = 7
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
        self.assertEqual(seen, [0, 1, 2, 0, 0])

    async def test_a_lone_front_still_has_its_list_at_once(self) -> None:
        agent = await DiscoveryAgent({"generation": 1, "reset": True, "instances": []}, [[b""]]).start()
        told = asyncio.Queue[api.Event]()
        one = Discovery(Address("127.0.0.1", agent.port), Directory({}), told.put_nowait)
        one.start()
        async with asyncio.timeout(5):
            self.assertEqual(await told.get(), api.NodeList(api.ListKind.FULL, []))
        one.stop()
        agent.stop()

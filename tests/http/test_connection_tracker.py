"""Which client connections are evicted or closed at the connection limits."""

from __future__ import annotations

from unittest import mock

from storage_gateway.http import connection_tracker
from tests.support.http import HttpServerCase, encode_request
from tests.support.peers import respond_at_once


class ConnectionTrackerTest(HttpServerCase):
    """A server at its connection limits."""

    async def test_never_used_connections_are_evicted_for_clients_that_send_requests(self) -> None:
        await self.start_server(respond_at_once)
        tracker = self.server.connections
        tracker.max_connections = 3
        never_used = [await self.open_stream() for _ in range(3)]
        await self.wait_until(lambda: len(tracker.open) == 3)

        assert (await self.send_request("t"))[0] == 200
        assert await never_used[0][0].read() == b""  # the oldest was evicted

        more = [await self.open_stream() for _ in range(3)]  # the used idle connection of self.client stays
        assert await more[0][0].read() == b""
        assert (await self.send_request("u"))[0] == 200
        assert len(tracker.open) <= 3
        for _, writer in [*never_used, *more]:
            writer.close()

    async def test_beyond_the_idle_limit_each_connection_closes_after_its_response(self) -> None:
        await self.start_server(respond_at_once)
        tracker = self.server.connections
        tracker.max_idle_connections = 2
        streams = []
        for trace_id in "abc":
            streams.append(await self.open_stream(encode_request(trace_id)))
            assert b" 200 " in await streams[-1][0].readuntil(b"tile")

        assert await streams[2][0].read() == b""
        await self.wait_until(lambda: len(tracker.open) == 2)
        streams[0][1].write(encode_request("d"))
        assert b" 200 " in await streams[0][0].readuntil(b"tile")  # earlier connections are kept
        assert len(tracker.open) == 2
        for _, writer in streams:
            writer.close()

    async def test_flood_evicts_no_connection_whose_request_may_be_in_transit(self) -> None:
        await self.start_server(respond_at_once)
        tracker = self.server.connections
        tracker.max_connections = 2
        with mock.patch.object(connection_tracker, "MIN_EVICTION_AGE_S", 60):
            young = [await self.open_stream() for _ in range(2)]
            await self.wait_until(lambda: len(tracker.open) == 2)
            waiting_reader, waiting_writer = await self.open_stream(encode_request("t"))
            await self.wait_until(lambda: self.server.listener and self.server.listener.resume_timer)
        for connection in tracker.never_used:
            connection.accepted_at = 0.0

        young[0][1].write(encode_request("y0"))
        young[1][1].write(encode_request("y1")[:9])

        assert b" 200 " in await waiting_reader.readline()  # in place of the one whose response was sent
        assert b" 200 " in await young[0][0].readline()
        young[1][1].write(encode_request("y1")[9:])
        assert b" 200 " in await young[1][0].readline()
        for writer in (young[0][1], young[1][1], waiting_writer):
            writer.close()

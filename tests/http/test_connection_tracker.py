"""Which clients' connections make room for others."""

from __future__ import annotations

from unittest import mock

from storage_gateway.http import connection_tracker
from tests.support.http import HttpServerCase, encode_request
from tests.support.peers import respond_at_once


class ConnectionTrackerTest(HttpServerCase):
    """A server at the limits of its connections."""

    async def test_never_used_connections_make_room_for_clients_that_send_requests(self) -> None:
        await self.start_server(respond_at_once)
        tracker = self.server.connections
        tracker.max_connections = 3
        never_used = [await self.open_stream() for _ in range(3)]
        await self.wait_until(lambda: len(tracker.open) == 3)

        assert (await self.send_request("t"))[0] == 200
        assert await never_used[0][0].read() == b""  # the oldest has ended

        more = [await self.open_stream() for _ in range(3)]  # the client's own idle one outlives them
        assert await more[0][0].read() == b""
        assert (await self.send_request("u"))[0] == 200
        assert len(tracker.open) <= 3
        for _, writer in [*never_used, *more]:
            writer.close()

    async def test_beyond_the_idle_limit_each_connection_ends_with_its_response(self) -> None:
        await self.start_server(respond_at_once)
        tracker = self.server.connections
        tracker.max_idle_connections = 2
        kept = []
        for trace_id in "abc":
            kept.append(await self.open_stream(encode_request(trace_id)))
            assert b" 200 " in await kept[-1][0].readuntil(b"tile")

        assert await kept[2][0].read() == b""
        await self.wait_until(lambda: len(tracker.open) == 2)
        kept[0][1].write(encode_request("d"))
        assert b" 200 " in await kept[0][0].readuntil(b"tile")  # those before it are kept
        assert len(tracker.open) == 2
        for _, writer in kept:
            writer.close()

    async def test_flood_evicts_no_connection_whose_request_may_be_on_its_way(self) -> None:
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

        assert b" 200 " in await waiting_reader.readline()  # in the place of the one that had its response
        assert b" 200 " in await young[0][0].readline()
        young[1][1].write(encode_request("y1")[9:])
        assert b" 200 " in await young[1][0].readline()
        for writer in (young[0][1], young[1][1], waiting_writer):
            writer.close()

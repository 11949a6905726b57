"""Which data of a storage node is a valid response, and after which the connection is reused."""

from __future__ import annotations

from unittest import mock

from storage_gateway.http import node_connection, pool
from storage_gateway.lifecycle import AttemptResult
from storage_gateway.policy_api import AttemptOutcome
from tests.support.http import NODE_ID, HttpServerCase, make_client_request
from tests.support.peers import make_response

OK_HEAD = b"HTTP/1.1 200 X\r\n"
CHUNKED_HEAD = OK_HEAD + b"Transfer-Encoding: chunked\r\n"


class ResponseParserTest(HttpServerCase):
    """Responses of a scripted node, each read by one attempt."""

    async def test_invalid_response_is_a_connection_reset_and_closes_the_connection(self) -> None:
        """The node may have executed the request, so the outcome must not rule that out."""
        good = make_response()
        invalid = [
            b"\x00\xffnoise",
            b"HTTP/1.1 tea\r\n\r\n",
            good.replace(b"/1.1", b"/2.0"),
            OK_HEAD + b"X: tea\r\n" * 9000,
            make_response(200, b"", "X: tea")[:-2],
            make_response(200, b"", "Content-Length: 4"),
            OK_HEAD + b"\r\ntile",
            good[:-1],
            good.replace(b": 4", b": -4"),
            good.replace(b": 4", b": +4"),
            good.replace(b": 4", b": 3000000000"),
            good.replace(b": 4", b" : 4"),
            CHUNKED_HEAD + b"\r\n4\r\ntile\r\nzz\r\n",
            CHUNKED_HEAD + b"Content-Length: 4\r\n\r\ntile",
            CHUNKED_HEAD + b"\r\n" + b"fff0\r\n%s\r\n" % bytes(65520) * 20,
            b"HTTP/1.1 101 X\r\nUpgrade: websocket\r\nConnection: upgrade\r\n\r\n" + good,
            b"HTTP/1.1 100 X\r\n\r\n" * 9 + good,
        ]

        async def respond(trace_id: str) -> bytes:
            return invalid[int(trace_id)]

        await self.start_server(respond)
        with mock.patch.object(node_connection, "INTER_READ_TIMEOUT_S", 0.05):
            for index, response in enumerate(invalid):
                request = make_client_request(str(index), "PUT", b"scan")
                result = await self.node_client.attempt(NODE_ID, request, lambda: 1.0)
                assert result == AttemptResult(AttemptOutcome.CONNECTION_RESET), response[:80]

        assert set(self.node.request_counts.values()) == {1}
        assert self.node.accepted_connections == len(invalid)
        assert self.node_client.open_connections == 0

    async def test_only_the_complete_response_is_served_whatever_comes_before_or_after_it(self) -> None:
        good = make_response(
            200, b"tile", "Endpoint-Load-Metrics: \x01 queue=\x7f", "X-Served-Elsewhere: -1e999"
        )
        chunked = CHUNKED_HEAD + b"\r\n2\r\nti\r\n2\r\nle\r\n0\r\n\r\n"
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: tea\r\n\r\n"
        invalid_data = b"\x00noise"
        large = make_response(200, b"tile" * 70_000)  # larger than the limit for request bodies
        reusable = [interim + good, chunked, large]
        with_trailing_data = [good + good, good + invalid_data, chunked + invalid_data, chunked + good]
        responses = reusable + with_trailing_data

        async def respond(trace_id: str) -> bytes:
            return responses[int(trace_id)]

        await self.start_server(respond)
        with mock.patch.object(pool, "REUSE_DELAY_S", 0.0):
            for index, response in enumerate(responses):
                result = await self.node_client.attempt(NODE_ID, make_client_request(str(index)), lambda: 1.0)
                body = b"tile" * 70_000 if response is large else b"tile"
                assert result == AttemptResult(AttemptOutcome.SERVED, body)
                is_reusable = index < len(reusable)
                assert self.node_client.open_connections == int(is_reusable), "trailing data must close it"

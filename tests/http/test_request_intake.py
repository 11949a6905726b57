"""How much of a client's data the parser gets."""

from __future__ import annotations

import asyncio
import socket
from unittest import mock

import pytest
from aiohttp import EMPTY_PAYLOAD

from storage_gateway.http import bounded_request_handler
from storage_gateway.http import server as server_module
from storage_gateway.http.aiohttp_internals import RequestHead
from storage_gateway.http.bounded_request_handler import MAX_DISCARDED_BYTES, BoundedRequestHandler
from storage_gateway.http.client_connection import ClientConnection
from storage_gateway.http.receive_buffer import RECEIVE_BUFFER_BYTES
from storage_gateway.http.request_intake import (
    MAX_BODY_BYTES,
    MAX_CHUNK_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    IntakePhase,
    IntakeRejection,
    RequestIntake,
)
from tests.support.http import HttpServerCase, encode_request
from tests.support.peers import respond_at_once

HEAD = b"GET /api HTTP/1.1\r\nHost: h\r\n\r\n"


def make_head(content_length: int = 0, *, is_chunked: bool = False, has_upgrade: bool = False) -> RequestHead:
    """Return a valid head as the parser reports it."""
    return RequestHead(True, has_upgrade, is_chunked, content_length, EMPTY_PAYLOAD)


class TestRequestIntake:
    """The pieces into which received data is divided."""

    @pytest.mark.parametrize("read_bytes", [1, 2, 3, 7, 1000])
    def test_head_ends_a_piece_however_it_arrives(self, read_bytes: int) -> None:
        intake = RequestIntake()
        data = HEAD + b"behind"
        parsed = b""
        while data:
            read, data = data[:read_bytes], data[read_bytes:]
            piece, rest = intake.take(read)
            parsed += piece
            if rest or parsed.endswith(b"\r\n\r\n"):
                data = rest + data
                break
        assert (parsed, data) == (HEAD, b"behind")

    def test_empty_lines_before_a_head_are_not_parsed_but_count_towards_it(self) -> None:
        intake = RequestIntake()
        assert intake.take(b"\r\n\r\n" + HEAD) == (HEAD, b"")

        intake = RequestIntake()
        for _ in range(MAX_HEAD_BYTES // 1000):
            assert intake.take(b"\r\n" * 500).parsed == b""
            assert intake.rejection is None
        intake.take(b"\r\n" * 500)
        assert intake.rejection is IntakeRejection.HEAD_TOO_LARGE

    def test_head_beyond_the_limit_is_not_parsed(self) -> None:
        intake = RequestIntake()
        parsed = 0
        rest = b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * MAX_HEAD_BYTES
        while rest:
            piece, rest = intake.take(rest)
            parsed += len(piece)
        assert intake.rejection is IntakeRejection.HEAD_TOO_LARGE
        assert parsed <= MAX_HEAD_BYTES
        assert intake.take(b"more") == (b"", b"")

    def test_body_is_parsed_up_to_its_length(self) -> None:
        intake = RequestIntake()
        intake.take(HEAD)
        intake.head_parsed(make_head(content_length=6))
        assert intake.take(b"1234") == (b"1234", b"")
        assert intake.take(b"56GET / HTTP") == (b"56", b"GET / HTTP")
        assert intake.phase is IntakePhase.COMPLETE
        assert intake.take(b"GET / HTTP") == (b"", b"")
        assert intake.has_surplus
        intake.end_request()
        assert intake.phase is IntakePhase.COMPLETE, "the connection closes"

    def test_next_request_is_parsed_once_the_one_before_has_ended(self) -> None:
        intake = RequestIntake()
        for _ in range(3):
            assert intake.take(HEAD) == (HEAD, b"")
            intake.head_parsed(make_head())
            intake.end_request()
        assert intake.phase is IntakePhase.HEAD

    @pytest.mark.parametrize(
        "head",
        [
            make_head(content_length=MAX_BODY_BYTES + 1),
            make_head(has_upgrade=True),
            RequestHead(False, False, False, 0, EMPTY_PAYLOAD),
        ],
        ids=["too long", "other protocol", "invalid"],
    )
    def test_data_behind_a_head_that_is_rejected_is_discarded(self, head: RequestHead) -> None:
        intake = RequestIntake()
        intake.take(HEAD)
        intake.head_parsed(head)
        assert intake.take(b"data") == (b"", b"")
        intake.end_request()
        assert intake.phase is IntakePhase.DISCARDING

    @pytest.mark.parametrize(("chunk_bytes", "content_bytes"), [(1, 0), (1 << 20, MAX_BODY_BYTES + 1)])
    def test_chunked_body_is_limited_in_content_and_in_framing(
        self, chunk_bytes: int, content_bytes: int
    ) -> None:
        intake = RequestIntake()
        intake.take(HEAD)
        intake.head_parsed(make_head(is_chunked=True))
        rest = bytes(MAX_CHUNK_FRAMING_BYTES + 1) if chunk_bytes == 1 else b"chunk"
        parsed = 0
        while rest:
            piece, rest = intake.take(rest)
            parsed += len(piece)
            intake.body_parsed(content_bytes, is_complete=False)
        assert intake.rejection is IntakeRejection.BODY_TOO_LARGE
        assert parsed <= MAX_CHUNK_FRAMING_BYTES + 1


class BoundedConnectionTest(HttpServerCase):
    """Guards against memory that grows with what a client sends: the parser keeps all that it is given."""

    async def flood(self, first: bytes, endless: bytes) -> bytes:
        """Send a request and then the same data again and again; return what was received until the close.

        Fails if the connection has passed on more to the parser than a request may have.
        """
        await self.start_server(respond_at_once)
        parsed_bytes = 0
        parse_piece = BoundedRequestHandler._parse_piece

        def count(connection: ClientConnection, piece: bytes) -> None:
            nonlocal parsed_bytes
            parsed_bytes += len(piece)
            parse_piece(connection, piece)

        with mock.patch.object(ClientConnection, "_parse_piece", count):
            client = self.open_socket()
            client.setblocking(False)
            received = asyncio.create_task(self.receive_until_close(client))
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(10):
                await loop.sock_sendall(client, first)
                while not received.done():
                    try:
                        await loop.sock_sendall(client, endless)
                    except OSError:
                        break
        assert parsed_bytes <= MAX_HEAD_BYTES + MAX_BODY_BYTES + MAX_CHUNK_FRAMING_BYTES
        return await received

    async def receive_until_close(self, client: socket.socket) -> bytes:
        received = b""
        loop = asyncio.get_running_loop()
        try:
            while part := await loop.sock_recv(client, 65536):
                received += part
        except ConnectionError:
            pass  # reset by a close over unread data
        return received

    async def test_endless_head_of_short_fields_is_rejected(self) -> None:
        assert b" 4" in (await self.flood(b"GET / HTTP/1.1\r\n", b"a: b\r\n" * 2000))[:12]

    async def test_endless_empty_lines_are_rejected(self) -> None:
        assert (await self.flood(b"\r\n", b"\r\n" * 4000)).startswith(b"HTTP/1.1 431 ")

    async def test_endless_chunks_are_rejected(self) -> None:
        head = encode_request(
            "t", "Transfer-Encoding: chunked", method="PUT", changes={"X-Qos": "record-write"}
        )
        assert (await self.flood(head, b"1\r\nc\r\n" * 2000)).startswith(b"HTTP/1.1 413 ")

    async def test_invalid_chunk_is_rejected_at_once(self) -> None:
        await self.start_server(respond_at_once)
        for chunk in (b"zz\r\n", b"5\r\nabcdefg\r\n", b"-1\r\n"):
            head = encode_request("t", "Transfer-Encoding: chunked", method="PUT")
            client = self.open_socket()
            client.sendall(head + chunk)
            with mock.patch.object(server_module, "BODY_TIMEOUT_S", 60):
                assert (await self.receive(client)).startswith(b"HTTP/1.1 400 ")

    async def test_data_of_another_protocol_is_discarded(self) -> None:
        head = encode_request("t", "Connection: upgrade", "Upgrade: websocket")
        # The data counts as a sign that the client has left if it arrives before the attempt begins.
        assert (await self.flood(head, bytes(16384)))[9:12] in (b"200", b"400", b"503")

    async def test_data_through_a_tunnel_is_discarded(self) -> None:
        head = b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n"
        assert b" 4" in (await self.flood(head, bytes(16384)))[:12]

    async def test_requests_at_once_are_rejected_without_parsing_them_all(self) -> None:
        request = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n"
        assert (await self.flood(b"", request * 500)).startswith(b"HTTP/1.1 503 "), "it is not ready"

    async def test_requests_beyond_the_limit_of_held_bytes_reject_the_earliest_incomplete_one(self) -> None:
        await self.start_server(respond_at_once)
        tracker = self.server.connections
        body = encode_request("t", "Content-Length: 20000", method="PUT", changes={"X-Qos": "record-write"})
        early, late = self.open_socket(), self.open_socket()
        for client in (early, late):
            client.sendall(body + bytes(RECEIVE_BUFFER_BYTES))
            await self.wait_until(lambda: tracker.request_bytes.used_bytes % RECEIVE_BUFFER_BYTES)
        await self.wait_until(lambda: tracker.request_bytes.used_bytes > 2 * RECEIVE_BUFFER_BYTES)
        tracker.request_bytes.max_bytes = tracker.request_bytes.used_bytes

        assert (await self.send_request("usual"))[0] == 200

        assert (await self.receive(early)).startswith(b"HTTP/1.1 503 ")
        assert tracker.request_bytes.used_bytes < 2 * RECEIVE_BUFFER_BYTES
        late.close()
        await self.wait_until(lambda: tracker.request_bytes.used_bytes == 0)

    async def test_request_that_is_complete_but_not_handled_yet_is_not_rejected_for_others(self) -> None:
        await self.start_server(respond_at_once)
        tracker = self.server.connections
        data_received = ClientConnection.data_received

        def exceed_limit(connection: ClientConnection, data: bytes) -> None:
            data_received(connection, data)  # the task that handles the request runs in a later iteration
            tracker.request_bytes.max_bytes = tracker.request_bytes.used_bytes
            tracker.hold(connection, 1)
            tracker.request_bytes.max_bytes = 0

        with mock.patch.object(ClientConnection, "data_received", exceed_limit):
            assert (await self.send_request("t"))[0] == 200

    async def test_client_that_sends_on_after_its_rejection_is_disconnected(self) -> None:
        with mock.patch.object(bounded_request_handler, "LINGER_S", 60):
            received = await self.flood(b"NOISE\r\n\r\n", bytes(MAX_DISCARDED_BYTES // 8))
        assert b" 400 " in received or not received, "a reset may drop it"

"""Which requests are accepted, and the responses to the others."""

from __future__ import annotations

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from storage_gateway.config import Address
from storage_gateway.errors import ProtocolError
from storage_gateway.http.request_codec import decode_request, encode_attempt
from tests.support.configuration import make_config
from tests.support.http import HEADERS, TARGET, HttpServerCase, encode_request, make_client_request
from tests.support.peers import never_respond


class RequestCodecTest(HttpServerCase):
    """Requests that are rejected before they reach a node."""

    async def test_response_to_an_invalid_request_names_the_faulty_header(self) -> None:
        await self.start_server(never_respond)
        io_header = HEADERS["X-IO"]
        for name, value in (
            ("X-Qos", "unknown"),
            ("X-Plan", "unknown"),
            ("X-IO", "volume=zz"),
            ("X-Expires-In-Ms", "-1"),
            ("X-Expires-In-Ms", "1_500"),
            ("X-Trace-Id", ""),
            ("X-Trace-Id", "t" * 200),
            ("X-IO", io_header.replace("units=2", "units=99")),
            ("X-Qos", "record-write"),
            ("X-IO", io_header.replace("shard=0", "shard=9")),
            ("X-IO", io_header + ",units=3"),
            ("X-IO", io_header.replace("=2", "=0x2")),
        ):
            status, text = await self.send_request("t", changes={name: value})
            assert status == 400
            assert name in text.decode()
        assert (await self.send_request("t", "PUT", bytes(70000)))[0] == 413
        async with self.client.get(self.url + "/unknown") as response:
            assert response.status == 404
        reader, writer = await self.open_stream(b"tea\r\n\r\n")
        assert b" 400 " in await reader.readline()
        writer.close()
        assert self.node.accepted_connections == 0

    async def test_requests_that_overlap_on_one_connection_reach_no_node(self) -> None:
        await self.start_server(never_respond)
        extra_request = encode_request("x")
        pipelined = extra_request * 300
        too_short_length = encode_request("t", "Content-Length: 4", method="PUT") + b"scan" + extra_request
        two_lengths = encode_request("t", "Content-Length: 4", "Content-Length: 0", method="PUT") + b"scan"
        both_framings = (
            encode_request("t", "Content-Length: 4", "Transfer-Encoding: chunked", method="PUT")
            + b"0\r\n\r\n"
            + extra_request
        )
        for data in (pipelined, too_short_length, two_lengths, both_framings):
            reader, writer = await self.open_stream(data)
            assert (await reader.read())[8:13] == b" 400 ", data[:200]
            writer.close()
        assert self.node.accepted_connections == 0

        # However slowly the event loop runs, the request stays at the node until the next one is read.
        self.server.config.client_timeouts_s[0] = 60.0
        self.executor.policy.settings.can_cancel = False
        late = encode_request("late", changes={"X-Expires-In-Ms": "60000"})
        reader, writer = await self.open_stream(late)
        await self.wait_until(lambda: self.node.request_counts["late"])
        writer.write(extra_request)  # after a request that is already at the node
        assert await reader.read() == b""
        assert self.node.request_counts["x"] == 0
        writer.close()


class TestDecodeRequest:
    """Decoding and encoding without a server."""

    FAULTS = (
        ("X-Trace-Id", "", "X-Trace-Id"),
        ("X-Qos", "unknown", "X-Qos"),
        ("X-Plan", "unknown", "X-Plan"),
        ("X-IO", "volume=1,volume=2", "X-IO"),
        ("X-Expires-In-Ms", "-1", "X-Expires-In-Ms"),
        ("X-IO", "volume=zz", "X-IO volume"),
    )

    def test_first_fault_in_the_order_of_the_checks_is_reported(self) -> None:
        for index, (_, _, expected_field) in enumerate(self.FAULTS):
            headers = CIMultiDict(HEADERS | {"X-Trace-Id": "t"})
            for name, value, _ in reversed(self.FAULTS[index:]):
                headers[name] = value
            with pytest.raises(ProtocolError) as raised:
                decode_request(make_config(), "GET", TARGET, CIMultiDictProxy(headers), b"")
            assert raised.value.field == expected_field

    def test_attempt_has_an_ipv6_host_in_brackets_and_no_length_without_a_body(self) -> None:
        encoded = encode_attempt(make_client_request("t"), Address("::1", 80), 0.25)
        assert encoded.decode() == (
            f"GET {TARGET} HTTP/1.1\r\nHost: [::1]:80\r\nX-Trace-Id: t\r\nX-Expires-In-Ms: 250\r\n\r\n"
        )

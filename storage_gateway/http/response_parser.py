"""Parses the responses of storage nodes, and decodes the outcomes of their attempts."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import StreamReader

from storage_gateway import policy_api as api
from storage_gateway.errors import InvalidResponseError
from storage_gateway.http.aiohttp_internals import (
    HttpProcessingError,
    HttpResponseParser,
    RawResponseMessage,
    make_response_parser,
)

MAX_BODY_BYTES = 1024 * 1024  # larger than the limit for request bodies, as nodes send larger ones
MAX_CHUNKED_BYTES = 2 * MAX_BODY_BYTES  # of a chunked body including its framing
BODY_BUFFER_BYTES = 4 * MAX_BODY_BYTES  # large enough that no accepted body pauses the parser
MAX_HEAD_BYTES = 16 * 1024
MAX_INTERIM_RESPONSES = 8  # 1xx responses before the final one
HTTP_VERSION_PREFIX = b"HTTP/1."
END_OF_HEAD = b"\r\n\r\n"
PLAIN_DECIMAL = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?")


@dataclass(slots=True)
class NodeResponse:
    """A complete response of a storage node.

    Attributes:
        status: the status code.
        headers: the header fields; lookups ignore case.
        body: the complete body, not decompressed.
        is_reusable: whether the connection may carry another request: no data followed this response, and
            the node keeps the connection open.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    is_reusable: bool


class ResponseParser:
    """Parses one response.

    Each head is extracted and passed to aiohttp's parser on its own, so that neither 1xx responses before the
    final one nor data after it can be mistaken for the response or invalidate a complete one.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._buffer = bytearray()
        self._interim_response_count = 0
        self._head: RawResponseMessage | None = None
        self._content_length: int | None = None  # None: the body is chunked
        self._chunk_parser: HttpResponseParser | None = None
        self._chunked_body: StreamReader | None = None
        self._chunked_byte_count = 0  # bytes of the chunked body received so far, with its framing

    @property
    def head_is_complete(self) -> bool:
        """Whether the head of the final response has been parsed."""
        return self._head is not None

    def feed(self, data: bytes) -> NodeResponse | None:
        """Parse received data; return the response once it is complete, None before.

        Raises:
            InvalidResponseError: if the received data is not part of a valid response, or exceeds a limit.
        """
        self._buffer += data
        while self._head is None:
            head = self._extract_head()
            if head is None:
                return None
            self._parse_head(head)
        if self._content_length is None:
            return self._parse_chunks()
        if len(self._buffer) < self._content_length:
            return None
        body = bytes(self._buffer[: self._content_length])
        return self._build_response(body, has_trailing_data=len(self._buffer) > self._content_length)

    def _extract_head(self) -> bytes | None:
        """Remove the first head from the buffer and return it; return None if it is incomplete."""
        if not self._buffer.startswith(HTTP_VERSION_PREFIX[: len(self._buffer)]):
            raise InvalidResponseError("response does not begin with an HTTP/1.x status line")
        position = self._buffer.find(END_OF_HEAD, 0, MAX_HEAD_BYTES)
        if position < 0:
            if len(self._buffer) >= MAX_HEAD_BYTES:
                raise InvalidResponseError(f"response head exceeds {MAX_HEAD_BYTES} bytes")
            return None
        end = position + len(END_OF_HEAD)
        head = bytes(self._buffer[:end])
        del self._buffer[:end]
        return head

    def _parse_head(self, head: bytes) -> None:
        parser = make_response_parser(self._loop, BODY_BUFFER_BYTES, MAX_HEAD_BYTES)
        try:
            messages, is_upgraded, _ = parser.feed_data(head)
        except (HttpProcessingError, ValueError) as error:
            raise InvalidResponseError("response head is malformed") from error
        if len(messages) != 1 or is_upgraded:
            raise InvalidResponseError("expected the head of one response without a protocol upgrade")
        message, payload = messages[0]
        if 100 <= message.code < 200:
            self._interim_response_count += 1
            if self._interim_response_count > MAX_INTERIM_RESPONSES:
                raise InvalidResponseError(f"found more than {MAX_INTERIM_RESPONSES} interim responses")
            return
        if message.chunked:
            self._chunk_parser = parser
            self._chunked_body = payload
        else:
            self._content_length = _decode_content_length(message)
        self._head = message

    def _parse_chunks(self) -> NodeResponse | None:
        assert self._chunk_parser is not None
        assert self._chunked_body is not None
        data = bytes(self._buffer)
        self._buffer.clear()
        self._chunked_byte_count += len(data)
        try:
            messages, _, _ = self._chunk_parser.feed_data(data)
            has_trailing_data = bool(messages)
        except (HttpProcessingError, ValueError) as error:
            has_trailing_data = True  # data follows the complete response, unless the chunks are invalid
            if not self._chunked_body.is_eof() or self._chunked_body.exception():
                raise InvalidResponseError("chunked body is malformed") from error
        if self._chunked_byte_count > MAX_CHUNKED_BYTES or self._chunked_body.total_bytes > MAX_BODY_BYTES:
            raise InvalidResponseError(
                f"chunked body exceeds {MAX_BODY_BYTES} bytes, or {MAX_CHUNKED_BYTES} with its framing"
            )
        if not self._chunked_body.is_eof():
            return None
        return self._build_response(self._chunked_body.read_nowait(), has_trailing_data)

    def _build_response(self, body: bytes, has_trailing_data: bool) -> NodeResponse:
        assert self._head is not None
        is_reusable = not has_trailing_data and not self._head.should_close
        return NodeResponse(self._head.code, self._head.headers, body, is_reusable)


def decode_outcome(status: int, headers: Mapping[str, str]) -> api.AttemptOutcome:
    """Return the outcome that a response proves; only ``X-Never-Ran`` proves that it was not executed."""
    if status == 200:
        return api.AttemptOutcome.SERVED
    if status in (503, 504) and headers.get("X-Never-Ran") == "1":
        return api.AttemptOutcome.REJECTED
    return api.AttemptOutcome.ERROR


def decode_units_elsewhere(headers: Mapping[str, str]) -> float:
    """Return the units of the volume that the shard served through other gateway instances.

    A malformed value counts as 0: it must not invalidate a good response.
    """
    text = headers.get("X-Served-Elsewhere", "0")
    return float(text) if PLAIN_DECIMAL.fullmatch(text) else 0.0


def _decode_content_length(message: RawResponseMessage) -> int:
    text = message.headers.get("Content-Length")
    if text is None and message.code != 200:
        return 0  # the head suffices; without a length the connection is not reused
    if text is None or not text.isdecimal() or int(text) > MAX_BODY_BYTES:
        raise InvalidResponseError(f"expected a Content-Length up to {MAX_BODY_BYTES}, found {text!r}")
    return int(text)

"""The codec of a storage node's responses: where one ends, and what it says of its attempt."""

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

MAX_BODY_BYTES = 1024 * 1024  # nodes send more than a client's request may hold
MAX_CHUNKED_BYTES = 2 * MAX_BODY_BYTES  # of a chunked body with its framing
BODY_BUFFER_BYTES = 4 * MAX_BODY_BYTES  # so that the size of no accepted body pauses the parser
MAX_HEAD_BYTES = 16 * 1024
MAX_INTERIM_RESPONSES = 8  # 1xx responses before the final one
HTTP_VERSION_PREFIX = b"HTTP/1."
END_OF_HEAD = b"\r\n\r\n"
PLAIN_DECIMAL = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?")


@dataclass(slots=True)
class NodeResponse:
    """A storage node's whole response.

    Attributes:
        status: the status code.
        headers: the fields of its head, without regard to case.
        body: the whole body.
        is_reusable: whether the connection may carry another request: all that came belonged to this
            response, and the node keeps the connection open.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    is_reusable: bool


class ResponseParser:
    """Reads one response.

    Each head is cut out and given to aiohttp's parser alone, so that neither 1xx responses before the final
    one nor bytes behind it can be mistaken for the response or invalidate one that is complete.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._buffer = bytearray()
        self._interim_responses = 0
        self._head: RawResponseMessage | None = None
        self._content_length: int | None = None  # None: the body is chunked
        self._chunk_parser: HttpResponseParser | None = None
        self._chunks: StreamReader | None = None
        self._chunk_bytes = 0

    @property
    def head_is_complete(self) -> bool:
        """Whether the head of the final response has been read."""
        return self._head is not None

    def feed(self, data: bytes) -> NodeResponse | None:
        """Take in received bytes; return the response once it is complete.

        Raises:
            InvalidResponseError: if what came cannot become a response.
        """
        self._buffer += data
        while self._head is None:
            head = self._take_head()
            if head is None:
                return None
            self._read_head(head)
        if self._content_length is None:
            return self._read_chunks()
        if len(self._buffer) < self._content_length:
            return None
        body = bytes(self._buffer[: self._content_length])
        return self._complete(body, has_surplus=len(self._buffer) > self._content_length)

    def _take_head(self) -> bytes | None:
        """Cut the first head out of the buffer, once it is there."""
        if not self._buffer.startswith(HTTP_VERSION_PREFIX[: len(self._buffer)]):
            raise InvalidResponseError("it does not begin with a status line")
        position = self._buffer.find(END_OF_HEAD, 0, MAX_HEAD_BYTES)
        if position < 0:
            if len(self._buffer) >= MAX_HEAD_BYTES:
                raise InvalidResponseError("its head is too long")
            return None
        end = position + len(END_OF_HEAD)
        head = bytes(self._buffer[:end])
        del self._buffer[:end]
        return head

    def _read_head(self, head: bytes) -> None:
        parser = make_response_parser(self._loop, BODY_BUFFER_BYTES, MAX_HEAD_BYTES)
        try:
            messages, is_upgraded, _ = parser.feed_data(head)
        except (HttpProcessingError, ValueError) as error:
            raise InvalidResponseError("its head cannot be read") from error
        if len(messages) != 1 or is_upgraded:
            raise InvalidResponseError("its head is not that of one response, or upgrades the protocol")
        message, payload = messages[0]
        if 100 <= message.code < 200:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                raise InvalidResponseError("too many interim responses")
            return
        if message.chunked:
            self._chunk_parser = parser
            self._chunks = payload
        else:
            self._content_length = _decode_content_length(message)
        self._head = message

    def _read_chunks(self) -> NodeResponse | None:
        assert self._chunk_parser is not None
        assert self._chunks is not None
        data = bytes(self._buffer)
        self._buffer.clear()
        self._chunk_bytes += len(data)
        try:
            messages, _, _ = self._chunk_parser.feed_data(data)
            has_surplus = bool(messages)
        except (HttpProcessingError, ValueError) as error:
            has_surplus = True  # bytes behind the complete response, unless its chunks are invalid
            if not self._chunks.is_eof() or self._chunks.exception():
                raise InvalidResponseError("its chunks cannot be read") from error
        if self._chunk_bytes > MAX_CHUNKED_BYTES or self._chunks.total_bytes > MAX_BODY_BYTES:
            raise InvalidResponseError("its body is too large")
        if not self._chunks.is_eof():
            return None
        return self._complete(self._chunks.read_nowait(), has_surplus)

    def _complete(self, body: bytes, has_surplus: bool) -> NodeResponse:
        assert self._head is not None
        is_reusable = not has_surplus and not self._head.should_close
        return NodeResponse(self._head.code, self._head.headers, body, is_reusable)


def decode_outcome(status: int, headers: Mapping[str, str]) -> api.AttemptOutcome:
    """Return what a response's head says of its attempt; only an explicit header proves it never ran."""
    if status == 200:
        return api.AttemptOutcome.SERVED
    if status in (503, 504) and headers.get("X-Never-Ran") == "1":
        return api.AttemptOutcome.REJECTED
    return api.AttemptOutcome.ERROR


def decode_units_elsewhere(headers: Mapping[str, str]) -> float:
    """Return the units that the shard served the volume through other gateway instances.

    A figure that cannot be read counts as none: it must not invalidate a good response.
    """
    text = headers.get("X-Served-Elsewhere", "0")
    return float(text) if PLAIN_DECIMAL.fullmatch(text) else 0.0


def _decode_content_length(message: RawResponseMessage) -> int:
    text = message.headers.get("Content-Length")
    if text is None and message.code != 200:
        return 0  # its head says everything; without a length the connection is not used again
    if text is None or not text.isdecimal() or int(text) > MAX_BODY_BYTES:
        raise InvalidResponseError("its length is missing or too large")
    return int(text)

"""Assembly of a watch's messages from its lines."""

from __future__ import annotations

import unittest
from unittest import mock

import pytest

from storage_gateway.endpoints import message_assembler as message_assembler_module
from storage_gateway.endpoints.message_assembler import WatchMessageAssembler
from storage_gateway.errors import ProtocolError


class WatchMessageAssemblerTest(unittest.TestCase):
    """Complete, incomplete and malformed messages."""

    def setUp(self) -> None:
        self.assembler = WatchMessageAssembler()

    def test_object_in_one_line_is_a_message(self) -> None:
        assert self.assembler.add(b'{"a": 1}\n') == b'{"a": 1}\n'
        self.assembler.end()

    def test_blank_line_between_messages_is_an_empty_message(self) -> None:
        assert self.assembler.add(b"\n") == b""
        assert self.assembler.add(b" \r\n") == b""
        self.assembler.end()

    def test_indented_object_is_one_message(self) -> None:
        assert self.assembler.add(b"{\n") is None
        assert self.assembler.add(b'  "a": 1\n') is None
        assert self.assembler.add(b"}\n") == b'{\n  "a": 1\n}\n'
        assert self.assembler.add(b"\n") == b""

    def test_line_without_its_newline_is_an_error(self) -> None:
        with pytest.raises(ProtocolError, match="the stream ended within a line"):
            self.assembler.add(b'{"a": 1}')

    def test_stream_that_ends_within_a_message_is_an_error(self) -> None:
        assert self.assembler.add(b"{\n") is None
        with pytest.raises(ProtocolError, match="the stream ended within a message"):
            self.assembler.end()

    def test_blank_line_within_a_message_is_an_error(self) -> None:
        assert self.assembler.add(b'{"a": 1,\n') is None
        with pytest.raises(ProtocolError, match=r"^endpoint watch: "):
            self.assembler.add(b"\n")

    def test_text_that_is_not_json_is_an_error_at_its_line(self) -> None:
        for line in (b"{bad\n", b"\xff\n", b"[" * 200_000 + b"\n"):
            with pytest.raises(ProtocolError, match=r"^endpoint watch: "):
                WatchMessageAssembler().add(line)

    def test_message_that_is_too_long_is_an_error(self) -> None:
        with mock.patch.object(message_assembler_module, "MAX_MESSAGE_BYTES", 8):
            assert self.assembler.add(b"{\n") is None
            with pytest.raises(ProtocolError, match="a message is longer than 8 bytes"):
                self.assembler.add(b'"abcdef":\n')

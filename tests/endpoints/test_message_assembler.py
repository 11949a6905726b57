"""Messages of a watch, line by line."""

from __future__ import annotations

import unittest
from unittest import mock

import pytest

from storage_gateway.endpoints import message_assembler as message_assembler_module
from storage_gateway.endpoints.message_assembler import WatchMessageAssembler
from storage_gateway.errors import ProtocolError


class WatchMessageAssemblerTest(unittest.TestCase):
    """Whole, incomplete and faulty messages."""

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

    def test_line_without_its_newline_is_cut(self) -> None:
        with pytest.raises(ProtocolError, match="a line is cut"):
            self.assembler.add(b'{"a": 1}')

    def test_stream_that_ends_within_a_message_is_cut(self) -> None:
        assert self.assembler.add(b"{\n") is None
        with pytest.raises(ProtocolError, match="a message is cut"):
            self.assembler.end()

    def test_blank_line_within_a_message_is_a_fault(self) -> None:
        assert self.assembler.add(b'{"a": 1,\n') is None
        with pytest.raises(ProtocolError, match=r"^endpoint watch: "):
            self.assembler.add(b"\n")

    def test_text_that_is_no_json_is_a_fault_at_once(self) -> None:
        for line in (b"{tea\n", b"\xff\n", b"[" * 200_000 + b"\n"):
            with pytest.raises(ProtocolError, match=r"^endpoint watch: "):
                WatchMessageAssembler().add(line)

    def test_message_that_does_not_end_is_a_fault(self) -> None:
        with mock.patch.object(message_assembler_module, "MAX_MESSAGE_BYTES", 8):
            assert self.assembler.add(b"{\n") is None
            with pytest.raises(ProtocolError, match="a message does not end"):
                self.assembler.add(b'"abcdef":\n')

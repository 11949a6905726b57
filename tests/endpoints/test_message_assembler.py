"""Assembly of a watch's messages from its lines."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest
from typing import Any
from unittest import mock

import pytest

from storage_gateway.endpoints import message_assembler as message_assembler_module
from storage_gateway.endpoints.message_assembler import WatchMessage, WatchMessageAssembler
from storage_gateway.errors import ProtocolError
from tests.support.endpoints import indented_snapshot, snapshot_of_fleet
from tests.support.project import ROOT


class WatchMessageAssemblerTest(unittest.TestCase):
    """Complete, incomplete and malformed messages."""

    def setUp(self) -> None:
        self.assembler = WatchMessageAssembler()

    def test_object_in_one_line_is_a_message(self) -> None:
        assert self.assembler.add(b'{"a": 1}\n') == WatchMessage({"a": 1})
        self.assembler.end()

    def test_blank_line_between_messages_is_an_empty_message(self) -> None:
        assert self.assembler.add(b"\n") == WatchMessage(is_blank=True)
        assert self.assembler.add(b" \r\n") == WatchMessage(is_blank=True)
        self.assembler.end()

    def test_indented_object_is_one_message(self) -> None:
        assert self.assembler.add(b"{\n") is None
        assert self.assembler.add(b'  "a": 1\n') is None
        assert self.assembler.add(b"}\n") == WatchMessage({"a": 1})
        assert self.assembler.add(b"\n") == WatchMessage(is_blank=True)

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

    def test_text_that_cannot_continue_a_message_is_an_error_at_its_line(self) -> None:
        for line in (b'{"a": 1}\n', b'"b" 2\n', b"tea\n", b"]}\n", b'"b": "c\n', b'"b": "\xff"}\n', b"} }\n"):
            assembler = WatchMessageAssembler()
            assert assembler.add(b'{"a": 1,\n') is None
            with pytest.raises(ProtocolError, match=r"^endpoint watch: "):
                assembler.add(line)

    def test_nesting_without_end_is_an_error_at_the_longest_message(self) -> None:
        with mock.patch.object(message_assembler_module, "MAX_MESSAGE_BYTES", 1 << 18):
            for _ in range(1 << 17):
                assert self.assembler.add(b"[\n") is None
            with pytest.raises(ProtocolError, match="a message is longer than"):
                self.assembler.add(b"[\n")

    def test_indented_list_of_a_fleet_is_decoded_once(self) -> None:
        """Guards against decoding all lines so far at each line, which blocks the event loop for seconds."""
        lines = indented_snapshot(node_count=200).splitlines(keepends=True)
        decoded_bytes = 0

        def count_and_decode(text: bytes) -> Any:
            nonlocal decoded_bytes
            decoded_bytes += len(text)
            return json.JSONDecoder().decode(text.decode())

        with mock.patch("json.loads", count_and_decode):
            messages = [self.assembler.add(line) for line in lines]
        assert messages[:-1] == [None] * (len(lines) - 1)
        assert messages[-1]
        assert len(messages[-1].value["instances"]) == 200
        assert decoded_bytes <= 2 * sum(map(len, lines))

    def test_list_of_the_largest_fleet_is_no_longer_than_a_message_may_be(self) -> None:
        """Guards against skipping the list of 3,200 nodes with long names, or indented by more than two."""
        for message in (
            json.dumps(snapshot_of_fleet(3200, name_length=200)).encode() + b"\n",
            indented_snapshot(3200, indent=8),
        ):
            assembler = WatchMessageAssembler()
            *_, last = (assembler.add(line) for line in message.splitlines(keepends=True))
            assert last
            assert len(last.value["instances"]) == 3200

    def test_message_that_is_too_long_is_an_error(self) -> None:
        with mock.patch.object(message_assembler_module, "MAX_MESSAGE_BYTES", 8):
            assert self.assembler.add(b"{\n") is None
            with pytest.raises(ProtocolError, match="a message is longer than 8 bytes"):
                self.assembler.add(b'"abcdef":\n')


def test_process_without_an_indented_message_does_not_load_the_incremental_parser() -> None:
    program = (
        "import sys, storage_gateway.service\n"
        "from storage_gateway.endpoints.message_assembler import WatchMessageAssembler\n"
        "WatchMessageAssembler().add(b'{}' + bytes([10]))\n"
        "print('ijson' in sys.modules)"
    )
    result = subprocess.run([sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True)
    assert result.stdout.strip() == "False", result.stderr

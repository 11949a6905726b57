"""VRRP advertisements as bytes."""

from __future__ import annotations

import unittest

import pytest

from storage_gateway.errors import AdvertisementError
from storage_gateway.vrrp.advertisement import decode, encode
from tests.vrrp.test_router import said


class MessageCase(unittest.TestCase):
    def test_messages(self) -> None:
        message = encode(said(100, 2.5))
        assert message[:6] == bytes([49, 1, 100, 1, 0, 250])
        assert decode(message) == said(100, 2.5)
        wrong = (b"", message[:-4], bytes([0x21]) + message[1:], message[:-1] + b"\0", message + bytes(4))
        for bad in wrong:
            with pytest.raises(AdvertisementError):
                decode(bad)

"""Encoding and decoding of VRRP version 3 advertisements (RFC 5798, section 5.2)."""

from __future__ import annotations

import ipaddress
import struct
from dataclasses import dataclass

from storage_gateway.errors import AdvertisementError

OWNER_PRIORITY = 255  # of the router that owns the virtual addresses (RFC 5798, section 5.2.4)
RELEASE_PRIORITY = 0  # of a master that stops participating

_VERSION_AND_TYPE = 0x31  # version 3, type 1 (advertisement)
_FIELDS = struct.Struct(">BBBBH")  # version and type, router id, priority, address count, interval
_CHECKSUM = struct.Struct(">H")
_HEADER_BYTES = _FIELDS.size + _CHECKSUM.size
_IPV4_BYTES = 4
_IPV6_BYTES = 16
_MIN_MESSAGE_BYTES = _HEADER_BYTES + _IPV4_BYTES
_CENTISECONDS_PER_S = 100
_INTERVAL_MASK = 0xFFF  # the upper 4 bits of the interval field are reserved


@dataclass(slots=True, frozen=True)
class Advertisement:
    """The content of an advertisement, which a master sends.

    Attributes:
        router_id: the virtual router's id.
        priority: the sender's priority; ``RELEASE_PRIORITY`` if it stops being master.
        interval_s: seconds between the sender's advertisements, with a resolution of 0.01 s.
        addresses: the virtual addresses, all of one IP version.
    """

    router_id: int
    priority: int
    interval_s: float
    addresses: tuple[str, ...]


def encode_advertisement(advertisement: Advertisement) -> bytes:
    """Encode an advertisement, including its checksum."""
    addresses = b"".join(ipaddress.ip_address(address).packed for address in advertisement.addresses)
    fields = _FIELDS.pack(
        _VERSION_AND_TYPE,
        advertisement.router_id,
        advertisement.priority,
        len(advertisement.addresses),
        round(advertisement.interval_s * _CENTISECONDS_PER_S) & _INTERVAL_MASK,
    )
    checksum = internet_checksum(fields + _CHECKSUM.pack(0) + addresses)
    return fields + _CHECKSUM.pack(checksum) + addresses


def decode_advertisement(message: bytes) -> Advertisement:
    """Decode and validate an advertisement.

    Raises:
        AdvertisementError: the message is not a VRRP version 3 advertisement, or is damaged.
    """
    if len(message) < _MIN_MESSAGE_BYTES or len(message) % _IPV4_BYTES:
        raise AdvertisementError(
            f"length is {len(message)} bytes, expected a multiple of {_IPV4_BYTES}"
            f" and at least {_MIN_MESSAGE_BYTES}"
        )
    version_and_type, router_id, priority, address_count, interval = _FIELDS.unpack_from(message)
    if version_and_type != _VERSION_AND_TYPE:
        raise AdvertisementError(
            f"version and type are {version_and_type:#x}, expected {_VERSION_AND_TYPE:#x}"
        )
    if internet_checksum(message):
        raise AdvertisementError("checksum is wrong")
    addresses = _split_addresses(message[_HEADER_BYTES:], address_count)
    interval_s = (interval & _INTERVAL_MASK) / _CENTISECONDS_PER_S
    return Advertisement(router_id, priority, interval_s, addresses)


def internet_checksum(message: bytes) -> int:
    """Return the checksum of RFC 1071; 0 for a message that holds its correct checksum."""
    total: int = sum(struct.unpack(f">{len(message) // 2}H", message))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def _split_addresses(packed: bytes, count: int) -> tuple[str, ...]:
    """Split packed addresses; their size implies the IP version, which the message does not state."""
    address_bytes = len(packed) // count if count else 0
    if address_bytes not in (_IPV4_BYTES, _IPV6_BYTES) or address_bytes * count != len(packed):
        raise AdvertisementError(f"address count {count} does not match {len(packed)} bytes of addresses")
    starts = range(0, len(packed), address_bytes)
    return tuple(str(ipaddress.ip_address(packed[start : start + address_bytes])) for start in starts)

"""VRRP version 3: which gateway instance owns the virtual address."""

from storage_gateway.vrrp.transport import VrrpTransport

__all__ = ["VrrpTransport"]

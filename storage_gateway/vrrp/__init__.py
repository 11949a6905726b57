"""VRRP version 3: elects the gateway instance that owns the virtual addresses."""

from storage_gateway.vrrp.transport import VrrpTransport

__all__ = ["VrrpTransport"]

"""Configuration: read once, checked, and handed on as typed values."""

from storage_gateway.config.reader import (
    Address,
    ConnectionBudget,
    GatewayConfig,
    SftpConfig,
    VolumePath,
    VrrpConfig,
    finite,
    read_address,
    read_configuration,
    read_services,
    read_settings,
)

__all__ = [
    "Address",
    "ConnectionBudget",
    "GatewayConfig",
    "SftpConfig",
    "VolumePath",
    "VrrpConfig",
    "finite",
    "read_address",
    "read_configuration",
    "read_services",
    "read_settings",
]

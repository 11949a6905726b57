"""Configuration: read once, checked, and handed on as typed values."""

from storage_gateway.config.reader import read_configuration
from storage_gateway.config.schema import (
    Address,
    ConnectionBudget,
    GatewayConfig,
    SftpConfig,
    VolumePath,
    VrrpConfig,
)
from storage_gateway.config.services import read_services
from storage_gateway.config.settings import read_settings
from storage_gateway.config.table import finite, read_address

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

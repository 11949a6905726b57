"""The configuration of a gateway instance: read and checked once, then passed on as typed values."""

from storage_gateway.config.reader import read_configuration
from storage_gateway.config.schema import (
    Address,
    ConnectionBudget,
    GatewayConfig,
    ReloadResult,
    SftpConfig,
    VolumePath,
    VrrpConfig,
)
from storage_gateway.config.services import ServicesConfig, read_services
from storage_gateway.config.settings import read_settings
from storage_gateway.config.table import is_finite_number, read_address

__all__ = [
    "Address",
    "ConnectionBudget",
    "GatewayConfig",
    "ReloadResult",
    "ServicesConfig",
    "SftpConfig",
    "VolumePath",
    "VrrpConfig",
    "is_finite_number",
    "read_address",
    "read_configuration",
    "read_services",
    "read_settings",
]

"""The gateway for SFTP version 3 commands, without SSH's cryptography."""

from storage_gateway.sftp.node_client import SftpNodeClient
from storage_gateway.sftp.server import SftpServer

__all__ = ["SftpNodeClient", "SftpServer"]

"""SFTP version 3 server and node client over plain TCP, without the encrypted SSH transport."""

from storage_gateway.sftp.node_client import SftpNodeClient
from storage_gateway.sftp.server import SftpServer

__all__ = ["SftpNodeClient", "SftpServer"]

"""The SFTP service of a gateway instance; with VRRP it is open only while this instance is master."""

from __future__ import annotations

from storage_gateway.config import GatewayConfig, SftpConfig
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.lifecycle import RequestExecutor
from storage_gateway.sftp.node_client import SftpNodeClient
from storage_gateway.sftp.server import SftpServer
from storage_gateway.vrrp.transport import VrrpTransport


class SftpService:
    """The SFTP server, its client towards the storage nodes and, where it is on, the VRRP transport.

    Args:
        config: the configuration of the gateway instance.
        sftp_config: its SFTP part, which is on.
        executor: carries out the requests.
        registry: where the storage nodes are.
    """

    def __init__(
        self,
        config: GatewayConfig,
        sftp_config: SftpConfig,
        executor: RequestExecutor,
        registry: EndpointRegistry,
    ) -> None:
        max_sessions = config.connection_budget.sftp_sessions
        self._command_timeout_s = sftp_config.command_timeout_s
        self._node_client = SftpNodeClient(
            registry, sftp_config.node_port, config.connect_timeout_s, config.idle_close_s, max_sessions
        )
        self._server = SftpServer(sftp_config, executor, self._node_client, max_sessions)
        self._vrrp: VrrpTransport | None = None
        if config.vrrp is not None:
            self._vrrp = VrrpTransport(config.vrrp, self._on_mastership_change)

    @classmethod
    async def start(
        cls, config: GatewayConfig, executor: RequestExecutor, registry: EndpointRegistry
    ) -> SftpService | None:
        """Start the service, or return None where the configuration has it off.

        Raises:
            OSError: its address, or that of VRRP, cannot be listened on.
        """
        if config.sftp is None:
            return None
        service = cls(config, config.sftp, executor, registry)
        if service._vrrp is None:
            await service._server.open()
        else:
            await service._vrrp.start()
        return service

    async def close(self, grace_s: float) -> None:
        """Give up mastership, and close the server once its commands have ended, or after ``grace_s``."""
        if self._vrrp is not None:
            await self._vrrp.stop()
        await self._server.close(grace_s)
        self._node_client.close()

    async def _on_mastership_change(self, is_master: bool) -> None:
        if is_master:
            await self._server.open()
        else:
            await self._server.close(self._command_timeout_s)

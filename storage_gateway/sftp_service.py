"""The SFTP service of a gateway instance; with VRRP it is open only while this instance is master.

With VRRP the instance becomes master only once it has an endpoint list to use: without one it would take the
clients of an instance that can serve them.
"""

from __future__ import annotations

import asyncio

from storage_gateway.config import GatewayConfig, SftpConfig
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.lifecycle import RequestExecutor
from storage_gateway.sftp.node_client import SftpNodeClient
from storage_gateway.sftp.server import SftpServer
from storage_gateway.vrrp.transport import VrrpTransport


class SftpService:
    """The SFTP server, its storage node client and, if VRRP is enabled, the VRRP transport.

    Args:
        config: the configuration of the gateway instance.
        sftp_config: the SFTP section of ``config``, which must be enabled.
        executor: executes the requests as the policy decides.
        registry: the endpoints of the storage nodes.
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
        self._election_task: asyncio.Task[None] | None = None
        if config.vrrp is not None:
            self._vrrp = VrrpTransport(config.vrrp, self._on_mastership_change)

    @classmethod
    async def start(
        cls,
        config: GatewayConfig,
        executor: RequestExecutor,
        registry: EndpointRegistry,
        list_usable: asyncio.Event,
    ) -> SftpService | None:
        """Start the service, or return None if the configuration disables it.

        Args:
            config: the configuration of the gateway instance.
            executor: executes the requests as the policy decides.
            registry: the endpoints of the storage nodes.
            list_usable: set once the registry has an endpoint list to use.

        Raises:
            OSError: the address of SFTP or of VRRP cannot be bound.
        """
        if config.sftp is None:
            return None
        service = cls(config, config.sftp, executor, registry)
        if service._vrrp is None:
            await service._server.open()
        else:
            await service._vrrp.bind()
            service._election_task = asyncio.create_task(service._join_election(service._vrrp, list_usable))
        return service

    async def close(self, grace_s: float) -> None:
        """Give up mastership, and close the server after its current commands, or after ``grace_s``."""
        if self._election_task is not None:
            self._election_task.cancel()
        if self._vrrp is not None:
            await self._vrrp.stop()
        await self._server.close(grace_s)
        self._node_client.close()

    async def _join_election(self, vrrp: VrrpTransport, list_usable: asyncio.Event) -> None:
        await list_usable.wait()
        vrrp.begin()

    async def _on_mastership_change(self, is_master: bool) -> None:
        if is_master:
            await self._server.open()
        else:
            await self._server.close(self._command_timeout_s)

"""The SFTP listener and its client sessions."""

from __future__ import annotations

import asyncio

import structlog

from storage_gateway.config import SftpConfig
from storage_gateway.lifecycle import RequestExecutor
from storage_gateway.sftp.node_client import SftpNodeClient
from storage_gateway.sftp.request_handler import RequestHandler
from storage_gateway.sftp.scheduler import CommandScheduler
from storage_gateway.sftp.session import Session
from storage_gateway.sftp.volumes import VolumeTree

log = structlog.get_logger()


class SftpServer:
    """Accepts SFTP clients; can be opened and closed repeatedly, as VRRP mastership changes.

    Attributes:
        node_client: executes commands at the nodes; closed by its owner, not by the server.
        listener: the listening socket; None while the server is closed.
        sessions: the open sessions, one for each client connection.
    """

    def __init__(
        self, config: SftpConfig, executor: RequestExecutor, node_client: SftpNodeClient, max_sessions: int
    ) -> None:
        self.node_client = node_client
        self.listener: asyncio.Server | None = None
        self.sessions: set[Session] = set()
        self._config = config
        self._max_sessions = max_sessions
        self._volumes = VolumeTree(config.volumes)
        self._scheduler = CommandScheduler(config, self._volumes, executor, node_client)

    async def open(self) -> None:
        """Start listening; has no effect if the server is already open.

        Raises:
            OSError: the address cannot be bound.
        """
        if self.listener is None:
            listen = self._config.listen
            self.listener = await asyncio.start_server(self._accept, listen.host, listen.port)
            log.info("sftp_listener_opened", listen=listen)

    async def close(self, grace_s: float = 0.0) -> None:
        """Stop accepting clients; each session ends after its current command, or after ``grace_s``."""
        if self.listener is None:
            return
        self.listener.close()
        self.listener = None
        for session in self.sessions:
            session.begin_shutdown()
        try:
            async with asyncio.timeout(grace_s):
                await asyncio.gather(*[session.wait_ended() for session in self.sessions])
        except TimeoutError:
            for session in list(self.sessions):
                session.abort()
        log.info("sftp_listener_closed")

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.sessions) >= self._max_sessions:
            log.warning("sftp_session_rejected", max_sessions=self._max_sessions)
            writer.transport.abort()
            return
        handler = RequestHandler(self._config, self._volumes, self._scheduler, self._count_listed_entries)
        session = Session(reader, writer, handler, self._config.idle_timeout_s)
        self.sessions.add(session)
        try:
            await session.run()
        finally:
            self.sessions.discard(session)

    def _count_listed_entries(self) -> int:
        return sum(session.handler.handles.count_listed_entries() for session in self.sessions)

"""Attempts to execute SFTP commands at storage nodes, and the pool of idle connections."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from storage_gateway.endpoints.registry import Endpoint, EndpointRegistry
from storage_gateway.errors import EndpointNotServingError, NotSentError
from storage_gateway.lifecycle import AttemptResult
from storage_gateway.policy_api import AttemptOutcome
from storage_gateway.sftp.commands import Command, run_command
from storage_gateway.sftp.fields import StatusCode
from storage_gateway.sftp.node_connection import SftpConnection
from storage_gateway.sftp.packets import Packet, Status

MAX_IDLE_PER_NODE = 4
IDLE_REUSE_FRACTION = 0.5  # of the nodes' idle timeout; a connection idle for longer is not reused

# Raised by a failed connection: TimeoutError is an OSError, and PacketError is a ValueError.
_CONNECTION_ERRORS = (OSError, EOFError, ValueError)


class SftpNodeClient:
    """Executes commands at the nodes of the registry and pools idle connections to them."""

    def __init__(
        self,
        registry: EndpointRegistry,
        port: int,
        connect_timeout_s: float,
        idle_close_s: float,
        max_idle: int,
    ) -> None:
        """Create a client without connections.

        Args:
            registry: the storage nodes; idle connections to a node that changes are closed.
            port: the SFTP port of every node; 0 for the port that discovery lists.
            connect_timeout_s: limit for establishing a connection, including the version exchange.
            idle_close_s: idle timeout after which the nodes close a connection.
            max_idle: limit of idle connections to all nodes together.
        """
        self._registry = registry
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._max_reuse_idle_s = idle_close_s * IDLE_REUSE_FRACTION
        self._max_idle = max_idle
        self._idle: defaultdict[int, list[SftpConnection]] = defaultdict(list)
        registry.listeners.append(self._drop_idle)

    def close(self) -> None:
        """Close all idle connections."""
        for node_id in list(self._idle):
            self._drop_idle(node_id)

    async def attempt(self, node_id: int, command: Command) -> AttemptResult[Packet]:
        """Execute the command once.

        A connection that breaks once a byte of the command may have been written results in
        ``CONNECTION_RESET``: the node may have executed the command.
        """
        try:
            connection = await self._connect(node_id, must_be_new=command.is_write)
        except EndpointNotServingError:
            return AttemptResult(AttemptOutcome.NOT_SENT)
        except NotSentError:
            return AttemptResult(AttemptOutcome.CONNECT_FAILED)
        response = None
        try:
            response = await run_command(connection, command)
        except _CONNECTION_ERRORS:
            return AttemptResult(AttemptOutcome.CONNECTION_RESET)
        finally:
            # Also runs on cancellation: no connection of this attempt is in use when the next one is sent.
            if response is None or not self._keep_idle(node_id, connection):
                connection.abort()
        if isinstance(response, Status) and response.code == StatusCode.FAILURE:
            return AttemptResult(AttemptOutcome.ERROR)
        return AttemptResult(AttemptOutcome.SERVED, response)  # any other status goes to the client

    async def _connect(self, node_id: int, must_be_new: bool) -> SftpConnection:
        """Return a connection to a serving node, ready for a command.

        A write gets a new connection: on a reused one, a break before the node received the command could not
        be distinguished from a break after it had stored the change.

        Raises:
            EndpointNotServingError: the node is not serving.
            NotSentError: the connection could not be established.
        """
        endpoint = self._registry.endpoints.get(node_id)
        if endpoint is None or not self._registry.is_serving(node_id):
            raise EndpointNotServingError
        connection = None if must_be_new else self._take_idle(node_id)
        if connection is None:
            connection = await self._open_connection(endpoint)
        if not self._registry.is_serving(node_id):  # discovery may have changed it meanwhile
            connection.abort()
            raise EndpointNotServingError
        return connection

    def _take_idle(self, node_id: int) -> SftpConnection | None:
        now = asyncio.get_running_loop().time()
        idle = self._idle[node_id]
        while idle:
            connection = idle.pop()
            if connection.is_usable() and now - connection.idle_since < self._max_reuse_idle_s:
                return connection
            connection.abort()
        return None

    async def _open_connection(self, endpoint: Endpoint) -> SftpConnection:
        writer = None
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                reader, writer = await asyncio.open_connection(
                    endpoint.address.host, self._port or endpoint.address.port
                )
                connection = SftpConnection(reader, writer)
                await connection.negotiate_version()
                return connection
        except _CONNECTION_ERRORS as error:
            if writer:
                writer.transport.abort()
            raise NotSentError from error
        except asyncio.CancelledError:
            if writer:
                writer.transport.abort()
            raise

    def _keep_idle(self, node_id: int, connection: SftpConnection) -> bool:
        """Keep the connection for a later command; return False if it must not be reused."""
        if not connection.is_usable() or not self._registry.is_serving(node_id):
            return False
        if len(self._idle[node_id]) >= MAX_IDLE_PER_NODE:
            return False
        if sum(map(len, self._idle.values())) >= self._max_idle:  # file descriptor budget
            return False
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle[node_id].append(connection)
        return True

    def _drop_idle(self, node_id: int) -> None:
        """Close the idle connections to a node that is draining, was removed or has restarted."""
        for connection in self._idle.pop(node_id, []):
            connection.abort()

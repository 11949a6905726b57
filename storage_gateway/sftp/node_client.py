"""Attempts of SFTP commands at storage nodes, and the idle connections to them."""

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
IDLE_REUSE_SHARE = 0.5  # of the nodes' idle limit, after which a connection is not used again

# What a broken connection raises: a time-out is an OSError, and a packet that does not fit a ValueError.
_CONNECTION_ERRORS = (OSError, EOFError, ValueError)


class SftpNodeClient:
    """Executes commands at the nodes of the registry and keeps idle connections to them."""

    def __init__(
        self,
        registry: EndpointRegistry,
        port: int,
        connect_timeout_s: float,
        idle_close_s: float,
        max_idle: int,
    ) -> None:
        """Create a client that has no connection yet.

        Args:
            registry: the nodes; connections to one that changes are closed.
            port: the SFTP port of every node; 0 for the port that discovery lists.
            connect_timeout_s: the time for a connection to come up, the exchange of versions included.
            idle_close_s: the time after which nodes close an idle connection.
            max_idle: idle connections to all nodes together.
        """
        self._registry = registry
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._idle_reuse_s = idle_close_s * IDLE_REUSE_SHARE
        self._max_idle = max_idle
        self._idle: defaultdict[int, list[SftpConnection]] = defaultdict(list)
        registry.listeners.append(self._drop_idle)

    def close(self) -> None:
        """Close all idle connections."""
        for node in list(self._idle):
            self._drop_idle(node)

    async def attempt(self, node: int, command: Command) -> AttemptResult[Packet]:
        """Execute the command once.

        Once a byte of the command may have been written, a broken connection may mean that it was executed.
        """
        try:
            connection = await self._connect(node, must_be_new=command.is_write)
        except EndpointNotServingError:
            return AttemptResult(AttemptOutcome.NOT_SENT)
        except NotSentError:
            return AttemptResult(AttemptOutcome.CONNECT_FAILED)
        reply = None
        try:
            reply = await run_command(connection, command)
        except _CONNECTION_ERRORS:
            return AttemptResult(AttemptOutcome.CONNECTION_RESET)
        finally:
            # Also when cancelled: nothing of an attempt stays open while the next one is sent.
            if reply is None or not self._keep_idle(node, connection):
                connection.abort()
        if isinstance(reply, Status) and reply.code == StatusCode.FAILURE:
            return AttemptResult(AttemptOutcome.ERROR)
        return AttemptResult(AttemptOutcome.SERVED, reply)  # any other status is for the client to judge

    async def _connect(self, node: int, must_be_new: bool) -> SftpConnection:
        """Return a connection to a serving node, ready for a command.

        A write has a new one: on one that was idle, a break before the node received the command could not be
        told from a break after it had stored the change.

        Raises:
            EndpointNotServingError: the node does not serve.
            NotSentError: no connection came up.
        """
        endpoint = self._registry.endpoints.get(node)
        if endpoint is None or not self._registry.is_serving(node):
            raise EndpointNotServingError
        connection = None if must_be_new else self._take_idle(node)
        if connection is None:
            connection = await self._open_connection(endpoint)
        if not self._registry.is_serving(node):  # discovery may have reported while the connection came up
            connection.abort()
            raise EndpointNotServingError
        return connection

    def _take_idle(self, node: int) -> SftpConnection | None:
        now = asyncio.get_running_loop().time()
        idle = self._idle[node]
        while idle:
            connection = idle.pop()
            if connection.is_usable() and now - connection.idle_since < self._idle_reuse_s:
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

    def _keep_idle(self, node: int, connection: SftpConnection) -> bool:
        """Keep the connection for a later command; False where it is not to be used again."""
        if not connection.is_usable() or not self._registry.is_serving(node):
            return False
        if len(self._idle[node]) >= MAX_IDLE_PER_NODE:
            return False
        if sum(map(len, self._idle.values())) >= self._max_idle:  # the budget of descriptors has no more
            return False
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle[node].append(connection)
        return True

    def _drop_idle(self, node: int) -> None:
        """Close the idle connections to a node that drains, was removed or restarted."""
        for connection in self._idle.pop(node, []):
            connection.abort()

"""File commands at a box: one attempt is one conversation, and what its ending proves."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.errors import EndpointNotServingError, NotSentError, PacketError
from storage_gateway.lifecycle import AttemptResult
from storage_gateway.policy_api import AttemptOutcome
from storage_gateway.sftp.commands import Command, Upload, changes, converse
from storage_gateway.sftp.node_connection import SftpConnection
from storage_gateway.sftp.packets import (
    VERSION,
    Code,
    Init,
    Packet,
    Status,
    Version,
)

MOST_IDLE = 4  # connections kept to a box
IDLE_SHARE = 0.5  # of the boxes' idle limit, after which a connection is not used again


class SftpNodeClient:
    """Connections to the boxes of the directory."""

    def __init__(
        self,
        registry: EndpointRegistry,
        port: int,
        connect_timeout_s: float,
        idle_close_s: float,
        most_idle: int,
    ) -> None:
        self.registry, self.port, self.most_idle = registry, port, most_idle
        self.connect_timeout_s, self.keep = connect_timeout_s, idle_close_s * IDLE_SHARE
        self.idle: defaultdict[int, list[SftpConnection]] = defaultdict(list)
        registry.listeners.append(self.drop)

    def drop(self, node: int) -> None:
        """The box drains, went or started anew."""
        for line in self.idle.pop(node, []):
            line.abort()

    def close(self) -> None:
        for node in list(self.idle):
            self.drop(node)

    async def attempt(self, node: int, command: Command) -> AttemptResult[Packet]:
        """One conversation; once a byte of the command may be written, a break may mean that it ran."""
        line, began, done = None, False, False
        try:
            line = await self.connect(node, fresh=isinstance(command, Upload) or changes(command))
            if not self.registry.is_serving(node):  # discovery may have spoken while the connection came up
                raise EndpointNotServingError
            began = True
            reply = await converse(line, command)
            done = True
        except EndpointNotServingError:
            return AttemptResult(AttemptOutcome.NOT_SENT)
        except NotSentError:
            return AttemptResult(AttemptOutcome.CONNECT_FAILED)
        except (OSError, EOFError, ValueError):
            return AttemptResult(AttemptOutcome.CONNECTION_RESET if began else AttemptOutcome.CONNECT_FAILED)
        finally:
            if line and not (done and self.put_back(node, line)):
                line.abort()  # nothing of a given-up attempt stays open while the next goes out
        if isinstance(reply, Status) and reply.code == Code.SSH_FX_FAILURE:
            return AttemptResult(AttemptOutcome.ERROR)
        return AttemptResult(
            AttemptOutcome.SERVED, reply
        )  # any other status is the box's answer, and it is the client's

    async def connect(self, node: int, fresh: bool) -> SftpConnection:
        """A connection that has said its version. A change has a fresh one: on one that was idle, a break
        could not be told from a break after the box had stored the change.
        """
        box = self.registry.endpoints.get(node)
        if box is None or not self.registry.is_serving(node):
            raise EndpointNotServingError
        now = asyncio.get_running_loop().time()
        while not fresh and self.idle[node]:
            line = self.idle[node].pop()
            if line.usable() and now - line.idle_since < self.keep:
                return line
            line.abort()
        writer = None
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                reader, writer = await asyncio.open_connection(
                    box.address.host, self.port or box.address.port
                )
                line = SftpConnection(reader, writer)
                reply = await line.ask(Init(VERSION))
                if not isinstance(reply, Version) or reply.id != VERSION:
                    raise PacketError("no version 3")
                return line
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            if writer:
                writer.transport.abort()
            raise NotSentError from error
        except asyncio.CancelledError:
            if writer:
                writer.transport.abort()
            raise

    def put_back(self, node: int, line: SftpConnection) -> bool:
        if not line.usable() or not self.registry.is_serving(node) or len(self.idle[node]) >= MOST_IDLE:
            return False
        if sum(map(len, self.idle.values())) >= self.most_idle:  # the descriptors are dealt out for no more
            return False
        line.idle_since = asyncio.get_running_loop().time()
        self.idle[node].append(line)
        return True

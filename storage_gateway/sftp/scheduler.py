"""Each command that reaches a storage node as one request of the policy."""

from __future__ import annotations

import hashlib

from storage_gateway import policy_api as api
from storage_gateway.config import SftpConfig
from storage_gateway.lifecycle import Rejected, RequestExecutor, Served
from storage_gateway.sftp.commands import Command
from storage_gateway.sftp.errors import CommandError
from storage_gateway.sftp.fields import StatusCode
from storage_gateway.sftp.node_client import SftpNodeClient
from storage_gateway.sftp.packets import Packet
from storage_gateway.sftp.volumes import VolumeTree

_OBJECT_KEY_BYTES = 6


class CommandScheduler:
    """Hands commands to the executor as reads and writes of their volumes."""

    def __init__(
        self,
        config: SftpConfig,
        volumes: VolumeTree,
        executor: RequestExecutor,
        node_client: SftpNodeClient,
    ) -> None:
        self._config = config
        self._volumes = volumes
        self._executor = executor
        self._node_client = node_client

    async def execute(self, command: Command, path: str, item: str, size_bytes: int) -> Packet:
        """Execute a command and return the node's reply.

        Args:
            command: what to do.
            path: the absolute path that it is about.
            item: names the piece of data that it reads or writes.
            size_bytes: bytes that it moves, as far as is known.

        Raises:
            CommandError: the path belongs to no volume, or the command was rejected or failed.
        """
        arrival = self._make_arrival(command, path, item, size_bytes)
        result = await self._executor.execute(arrival, lambda node: self._node_client.attempt(node, command))
        match result:
            case Served(value=reply) if reply is not None:
                return reply
            case Rejected(retry_after_s=retry_after_s):
                advice = f"try again after {max(0.0, retry_after_s):.3f} s"
                raise CommandError(StatusCode.FAILURE, f"refused, nothing was done: {advice}")
            case _:
                effect = "the change may have been made" if command.is_write else "no answer"
                raise CommandError(StatusCode.FAILURE, f"failed: {effect}")

    def _make_arrival(self, command: Command, path: str, item: str, size_bytes: int) -> api.RequestArrived:
        config = self._config
        volume = self._volumes.find(path)
        units = float(max(1, -(-size_bytes // config.unit_bytes)))  # rounded up
        max_units = self._executor.policy.settings.max_request_units
        deadline = self._executor.now() + config.command_timeout_s
        return api.RequestArrived(
            request_id=self._executor.new_request_id(),
            class_index=config.write_class if command.is_write else config.read_class,
            plan_index=volume.plan_index,
            volume_id=volume.volume_id,
            object_key=object_key(item),
            shard=volume.shard,
            units=min(units, max_units or units),
            deadline=deadline,
            gateway_count=volume.gateway_count,
        )


def object_key(item: str) -> int:
    """Return the number under which the policy knows a piece of data.

    It is the same for a client's repeat, also after a restart of the gateway.
    """
    digest = hashlib.blake2b(item.encode("utf-8", "surrogateescape"), digest_size=_OBJECT_KEY_BYTES)
    return int.from_bytes(digest.digest(), "big")
